//! Ownership under many schedules with lost, duplicated and delayed messages, crashes, pauses and
//! drains.

mod cluster;

use std::{io::Write, thread};

use cluster::{Event, Mutant, Plan, Violation, World, check};
use rstest::rstest;

const SCHEDULES: u64 = 80_000;
const THREADS: u64 = 6;
const MUTANT_SCHEDULES: u64 = 3_000;

#[derive(Default)]
struct Outcome {
    violations: Vec<(u64, Vec<Violation>)>,
    resumed: u64,
    replaced: u64,
    diverged: u64,
}

impl Outcome {
    fn add(&mut self, seed: u64) {
        let plan = Plan::draw(seed);
        let trace = World::simulate(plan.clone());
        let violations = check(&plan, &trace);
        if !violations.is_empty() {
            self.violations.push((seed, violations));
        }
        let diverged = trace.iter().any(|event| matches!(event, Event::Diverged { .. }));
        self.resumed += u64::from(trace.contains(&Event::Resumed));
        self.replaced += u64::from(trace.contains(&Event::Replaced));
        self.diverged += u64::from(diverged);
    }

    fn merge(&mut self, other: Outcome) {
        self.violations.extend(other.violations);
        self.resumed += other.resumed;
        self.replaced += other.replaced;
        self.diverged += other.diverged;
    }
}

fn violations_of(seed: u64, mutant: Option<Mutant>) -> Vec<Violation> {
    let plan = Plan { mutant, ..Plan::draw(seed) };
    let trace = World::simulate(plan.clone());
    check(&plan, &trace)
}

// Guards against readers that receive a token twice, parts of two different texts, or no response,
// while messages between nodes are lost, duplicated, delayed and reordered and nodes die, pause and
// leave.
#[test]
fn all_guarantees() {
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
        all.merge(thread.join().expect("a finished thread"));
    }
    all.violations.sort();
    let Outcome { violations, resumed, replaced, diverged } = all;
    print_line(format!(
        "{SCHEDULES} handoff schedules: {} with violations, {resumed} resumed on another node, \
         {replaced} with a replaced holder, {diverged} with a reader that started over",
        violations.len(),
    ));
    assert!(violations.is_empty(), "{:?}", &violations[..violations.len().min(20)]);
    assert!(SCHEDULES / 10 < resumed && 0 < replaced);
}

// Each check must be able to fail: it has to detect an injected fault.
#[rstest]
#[case(Mutant::ReleasesEarly, Violation::DivergingTexts)]
#[case(Mutant::SkipsPrefixCheck, Violation::MixedText)]
#[case(Mutant::NeverTakesOver, Violation::LostRequest)]
#[case(Mutant::DropsCopies, Violation::MissingCopy)]
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
