//! Checks over the trace of one schedule; none looks into the machines.

use bulrushhall_core::Ran;

/// An `Event` is one thing that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The plain service executed a key's call.
    Executed { key: u8 },
    /// A caller was told whether its call ran.
    Told { key: u8, ran: Ran },
    /// A caller was given the stored answer of a run.
    Answered { key: u8 },
    /// At the end of the schedule: a key could be ordered while everything works.
    Works { key: u8, answered: bool },
}

/// A `Fault` is a promise that a schedule broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A key's call ran twice.
    Doubled,
    /// A caller was told that a call did not run, and it had run or ran later because of it.
    Untrue,
    /// A caller was answered for a call that never ran.
    Invented,
    /// A new key could not be ordered although everything works.
    Stuck,
}

/// Returns the promises that a schedule broke.
pub fn check(trace: &[Event]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut executed = [0_u32; 8];
    for event in trace {
        match *event {
            Event::Executed { key } => {
                executed[key as usize] += 1;
                if executed[key as usize] == 2 {
                    faults.push(Fault::Doubled);
                }
            }
            Event::Told { key, ran: Ran::No } if 0 < executed[key as usize] => {
                faults.push(Fault::Untrue);
            }
            Event::Answered { key } if executed[key as usize] == 0 => faults.push(Fault::Invented),
            Event::Works { answered: false, .. } => faults.push(Fault::Stuck),
            _ => {}
        }
    }
    faults
}
