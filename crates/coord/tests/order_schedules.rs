//! Non-repeatable calls under many schedules with lost, delayed and refused calls, crashes and
//! pauses.

mod orders;

use std::{io::Write, thread};

use orders::{Mutant, Plan, Violation, World, check};
use rstest::rstest;

const SCHEDULES: u64 = 60_000;
const THREADS: u64 = 6;
const MUTANT_SCHEDULES: u64 = 3_000;

fn violations_of(seed: u64, mutant: Option<Mutant>) -> Vec<Violation> {
    check(&World::simulate(Plan { seed, mutant }))
}

// Guards against a call that runs twice, or is reported as not run although it did, while the
// key-value service refuses calls, loses replies and applies writes late, and nodes die, restart
// and pause.
#[test]
fn all_guarantees() {
    let mut threads = Vec::new();
    for part in 0..THREADS {
        threads.push(thread::spawn(move || {
            let mut found = Vec::new();
            for seed in (0..SCHEDULES).filter(|seed| seed % THREADS == part) {
                let violations = violations_of(seed, None);
                if !violations.is_empty() {
                    found.push((seed, violations));
                }
            }
            found
        }));
    }
    let mut found = Vec::new();
    for thread in threads {
        found.extend(thread.join().expect("a finished thread"));
    }
    found.sort();
    print_line(format!("{SCHEDULES} order schedules: {} with violations", found.len()));
    assert!(found.is_empty(), "{:?}", &found[..found.len().min(20)]);
}

// Each check must be able to fail: it has to detect an injected fault.
#[rstest]
#[case(Mutant::AssumesWritten, Violation::RanTwice)]
#[case(Mutant::IgnoresHomes, Violation::RanTwice)]
#[case(Mutant::ReportsLostAsNotRun, Violation::FalseNotRun)]
#[case(Mutant::NeverRetries, Violation::NotRecovered)]
fn injected_faults(#[case] mutant: Mutant, #[case] expected: Violation) {
    let caught = (0..MUTANT_SCHEDULES)
        .filter(|seed| violations_of(*seed, Some(mutant)).contains(&expected))
        .count();
    print_line(format!("{mutant:?}: {caught} of {MUTANT_SCHEDULES} schedules show {expected:?}"));
    assert!(0 < caught);
}

// Writes to stdout directly, past the capture of the test harness, so that every run shows the
// counts.
fn print_line(line: impl AsRef<str>) {
    let _ = writeln!(std::io::stdout(), "{}", line.as_ref());
}
