//! Ownership under many schedules of lost, doubled and late messages, crashes, pauses and leaves.

mod cluster;

use std::{io::Write, thread};

use cluster::{Event, Fault, Mutant, Plan, World, check};
use rstest::rstest;

const SCHEDULES: u64 = 80_000;
const THREADS: u64 = 6;
const MUTANT_SCHEDULES: u64 = 3_000;

#[derive(Default)]
struct Outcome {
    broken: Vec<(u64, Vec<Fault>)>,
    resumed: u64,
    replaced: u64,
    diverged: u64,
}

impl Outcome {
    fn add(&mut self, seed: u64) {
        let plan = Plan::draw(seed);
        let trace = World::play(plan.clone());
        let faults = check(&plan, &trace);
        if !faults.is_empty() {
            self.broken.push((seed, faults));
        }
        let diverged = trace.iter().any(|event| matches!(event, Event::Diverged { .. }));
        self.resumed += u64::from(trace.contains(&Event::Resumed));
        self.replaced += u64::from(trace.contains(&Event::Replaced));
        self.diverged += u64::from(diverged);
    }

    fn join(&mut self, other: Outcome) {
        self.broken.extend(other.broken);
        self.resumed += other.resumed;
        self.replaced += other.replaced;
        self.diverged += other.diverged;
    }
}

fn broken(seed: u64, mutant: Option<Mutant>) -> Vec<Fault> {
    let plan = Plan { mutant, ..Plan::draw(seed) };
    let trace = World::play(plan.clone());
    check(&plan, &trace)
}

// Messages between nodes are lost, come twice, late and out of order; nodes die, pause and leave.
// A reader would see a token twice, two halves of two texts, or nothing at all.
#[test]
fn all_promises() {
    let mut threads = Vec::new();
    for part in 0..THREADS {
        threads.push(thread::spawn(move || {
            let mut outcome = Outcome::default();
            for seed in (0..SCHEDULES).filter(|seed| seed % THREADS == part) {
                outcome.add(seed);
            }
            outcome
        }));
    }
    let mut all = Outcome::default();
    for thread in threads {
        all.join(thread.join().expect("a finished part"));
    }
    all.broken.sort();
    let Outcome { broken, resumed, replaced, diverged } = all;
    tell(format!(
        "{SCHEDULES} schedules of the handoff: {} broken, {resumed} resumed elsewhere, \
         {replaced} with another holder, {diverged} with a reader sent back",
        broken.len(),
    ));
    assert!(broken.is_empty(), "{:?}", &broken[..broken.len().min(20)]);
    assert!(SCHEDULES / 10 < resumed && 0 < replaced);
}

// Each checker must be able to fail: a fault is planted, and the checker has to find it.
#[rstest]
#[case(Mutant::ShowsEarly, Fault::TwoTexts)]
#[case(Mutant::ReadsBlindly, Fault::Mixed)]
#[case(Mutant::NeverTakesOver, Fault::Lost)]
#[case(Mutant::ForgetsCopies, Fault::NoCopy)]
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
