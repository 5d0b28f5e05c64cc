//! Checks of the trace of one schedule; none inspects the state machines.

use bulrushhall_coord::CopyLocation;

use super::{
    plan::{DisruptionKind, Plan, Spacing},
    trace::Event,
};

/// A `Violation` is a guarantee that did not hold in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A reader's text was not produced by any single run.
    MixedText,
    /// A reader received a token twice or out of order.
    RepeatedToken,
    /// Readers received different texts, or one had to start over, although no holder was replaced.
    DivergingTexts,
    /// A copied request was lost although the disruptions were within what ownership tolerates.
    LostRequest,
    /// A copy was reported at a peer that does not have it.
    MissingCopy,
}

/// Returns the violations in the trace of a schedule.
pub fn check(plan: &Plan, trace: &[Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(check_texts(trace));
    violations.extend(check_single_text(trace));
    violations.extend(check_nothing_lost(plan, trace));
    violations.extend(check_copies(trace));
    violations
}

// Each reader receives each token once and in order, and in the end the text of a single run.
fn check_texts(trace: &[Event]) -> Option<Violation> {
    let mut seen: [Vec<String>; 2] = Default::default();
    let is_of_one_run = |text: &Vec<String>| {
        trace.iter().any(|event| matches!(event, Event::RunEnded { text: it } if it == text))
    };
    for event in trace {
        match event {
            Event::Shown { reader, number, text } => {
                if *number != seen[*reader].len() {
                    return Some(Violation::RepeatedToken);
                }
                seen[*reader].push(text.clone());
            }
            Event::Diverged { reader } => seen[*reader].clear(),
            Event::ReaderDone { reader } if !is_of_one_run(&seen[*reader]) => {
                return Some(Violation::MixedText);
            }
            _ => {}
        }
    }
    None
}

// As long as no holder was replaced there is one text, and no reader has to start over.
fn check_single_text(trace: &[Event]) -> Option<Violation> {
    if trace.contains(&Event::Replaced) {
        return None;
    }
    let mut tokens: Vec<&String> = Vec::new();
    for event in trace {
        match event {
            Event::Diverged { .. } => return Some(Violation::DivergingTexts),
            Event::Shown { number, text, .. } => match tokens.get(*number) {
                Some(known) if *known != text => return Some(Violation::DivergingTexts),
                Some(_) => {}
                None => tokens.push(text),
            },
            _ => {}
        }
    }
    None
}

// Disruptions that occur one at a time, each after recovery from the last, lose nothing.
fn check_nothing_lost(plan: &Plan, trace: &[Event]) -> Option<Violation> {
    let copied = trace
        .iter()
        .any(|event| matches!(event, Event::Accepted { copied: CopyLocation::At(_), .. }));
    let crashes = plan.disruptions.iter().filter(|it| it.kind == DisruptionKind::Crash).count();
    let is_tolerated =
        plan.spacing == Spacing::Apart || crashes <= 1 && plan.disruptions.len() <= 1;
    let complete = trace.contains(&Event::Settled { complete: true });
    (copied && is_tolerated && !complete).then_some(Violation::LostRequest)
}

fn check_copies(trace: &[Event]) -> Option<Violation> {
    let has_missing_copy = trace.iter().any(|event| {
        matches!(event, Event::Accepted { copied: CopyLocation::At(_), has_copy: false })
    });
    has_missing_copy.then_some(Violation::MissingCopy)
}
