//! Checks of the trace of one schedule; none inspects the state machines.

use bulrushhall_core::Ran;

/// An `Event` is one observable event of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The plain service executed the call of a key.
    Executed { key: u8 },
    /// A caller received whether its call ran.
    Reported { key: u8, ran: Ran },
    /// A caller received the stored answer of a run.
    Answered { key: u8 },
    /// At the end of the schedule: whether a new key's call was answered once the faults had ended.
    Recovered { key: u8, answered: bool },
}

/// A `Violation` is a guarantee that did not hold in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The call of a key ran twice.
    RanTwice,
    /// A caller was told that a call did not run although it had run.
    FalseNotRun,
    /// A caller received an answer to a call that never ran.
    AnsweredWithoutRun,
    /// The call of a new key was not answered although the faults had ended.
    NotRecovered,
}

/// Returns the violations in the trace of a schedule.
pub fn check(trace: &[Event]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut executed = [0_u32; 8];
    for event in trace {
        match *event {
            Event::Executed { key } => {
                executed[key as usize] += 1;
                if executed[key as usize] == 2 {
                    violations.push(Violation::RanTwice);
                }
            }
            Event::Reported { key, ran: Ran::No } if 0 < executed[key as usize] => {
                violations.push(Violation::FalseNotRun);
            }
            Event::Answered { key } if executed[key as usize] == 0 => {
                violations.push(Violation::AnsweredWithoutRun)
            }
            Event::Recovered { answered: false, .. } => violations.push(Violation::NotRecovered),
            _ => {}
        }
    }
    violations
}
