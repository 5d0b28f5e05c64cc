//! Checks over the trace of one schedule; none looks into the machines.

use bulrushhall_coord::CopyLocation;

use super::{
    plan::{Plan, Spacing, TroubleKind},
    trace::Event,
};

/// A `Fault` is a promise that a schedule broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A reader's text is not one that any single run has written.
    Mixed,
    /// A token came twice or out of order.
    Repeated,
    /// Two readers saw different texts although every step was within the terms.
    TwoTexts,
    /// An accepted request was lost although every step was within the terms.
    Lost,
    /// A copy was promised that nobody has.
    NoCopy,
}

/// Returns the promises that a schedule broke.
pub fn check(plan: &Plan, trace: &[Event]) -> Vec<Fault> {
    let mut faults = Vec::new();
    faults.extend(whole_texts(trace));
    faults.extend(one_text(trace));
    faults.extend(nothing_lost(plan, trace));
    faults.extend(real_copies(trace));
    faults
}

// Each reader gets each token once, in order, and in the end a text that one run has written.
fn whole_texts(trace: &[Event]) -> Option<Fault> {
    let mut seen: [Vec<String>; 2] = Default::default();
    let written = |text: &Vec<String>| {
        trace.iter().any(|event| matches!(event, Event::Written { text: it } if it == text))
    };
    for event in trace {
        match event {
            Event::Shown { reader, number, text } => {
                if *number != seen[*reader].len() {
                    return Some(Fault::Repeated);
                }
                seen[*reader].push(text.clone());
            }
            Event::Diverged { reader } => seen[*reader].clear(),
            Event::Whole { reader } if !written(&seen[*reader]) => return Some(Fault::Mixed),
            _ => {}
        }
    }
    None
}

// While no holder had to be replaced, there is one text, and no reader is sent back.
fn one_text(trace: &[Event]) -> Option<Fault> {
    if trace.contains(&Event::Replaced) {
        return None;
    }
    let mut tokens: Vec<&String> = Vec::new();
    for event in trace {
        match event {
            Event::Diverged { .. } => return Some(Fault::TwoTexts),
            Event::Shown { number, text, .. } => match tokens.get(*number) {
                Some(known) if *known != text => return Some(Fault::TwoTexts),
                Some(_) => {}
                None => tokens.push(text),
            },
            _ => {}
        }
    }
    None
}

// Troubles that come one after the other, each once the last is repaired, lose nothing.
fn nothing_lost(plan: &Plan, trace: &[Event]) -> Option<Fault> {
    let copied = trace
        .iter()
        .any(|event| matches!(event, Event::Accepted { copied: CopyLocation::At(_), .. }));
    let crashes = plan.troubles.iter().filter(|it| it.kind == TroubleKind::Crash).count();
    let within = plan.spaced == Spacing::Apart || crashes <= 1 && plan.troubles.len() <= 1;
    let whole = trace.contains(&Event::Quiet { whole: true });
    (copied && within && !whole).then_some(Fault::Lost)
}

fn real_copies(trace: &[Event]) -> Option<Fault> {
    let empty = trace.iter().any(|event| {
        matches!(event, Event::Accepted { copied: CopyLocation::At(_), really: false })
    });
    empty.then_some(Fault::NoCopy)
}
