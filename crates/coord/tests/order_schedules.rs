//! Orders under many schedules of lost, late and refused calls, crashes and pauses.

mod orders;

use std::{io::Write, thread};

use orders::{Fault, Mutant, Plan, World, check};
use rstest::rstest;

const SCHEDULES: u64 = 60_000;
const THREADS: u64 = 6;
const MUTANT_SCHEDULES: u64 = 3_000;

fn broken(seed: u64, mutant: Option<Mutant>) -> Vec<Fault> {
    check(&World::play(Plan { seed, mutant }))
}

// The key-value service refuses calls, loses replies and lets writes take effect late; nodes die,
// come back as new lives, and pause. A workshop would get two kilns fired, or be told that an
// order did not run that did.
#[test]
fn all_promises() {
    let mut threads = Vec::new();
    for part in 0..THREADS {
        threads.push(thread::spawn(move || {
            let mut found = Vec::new();
            for seed in (0..SCHEDULES).filter(|seed| seed % THREADS == part) {
                let faults = broken(seed, None);
                if !faults.is_empty() {
                    found.push((seed, faults));
                }
            }
            found
        }));
    }
    let mut found = Vec::new();
    for thread in threads {
        found.extend(thread.join().expect("a finished part"));
    }
    found.sort();
    tell(format!("{SCHEDULES} schedules of orders: {} broken", found.len()));
    assert!(found.is_empty(), "{:?}", &found[..found.len().min(20)]);
}

// Each checker must be able to fail: a fault is planted, and the checker has to find it.
#[rstest]
#[case(Mutant::TrustsSilence, Fault::Doubled)]
#[case(Mutant::IgnoresHomes, Fault::Doubled)]
#[case(Mutant::CallsLostNotRun, Fault::Untrue)]
#[case(Mutant::NeverRetries, Fault::Stuck)]
fn planted_faults(#[case] mutant: Mutant, #[case] expected: Fault) {
    let caught = (0..MUTANT_SCHEDULES)
        .filter(|seed| broken(*seed, Some(mutant)).contains(&expected))
        .count();
    tell(format!("{mutant:?}: {caught} of {MUTANT_SCHEDULES} schedules show {expected:?}"));
    assert!(0 < caught);
}

// Written past the test harness, so that counts are seen in every run.
fn tell(line: impl AsRef<str>) {
    let _ = writeln!(std::io::stdout(), "{}", line.as_ref());
}
