//! Random sequences of attempts of one call, compared with the actual runs.

use bulrushhall_coord::Attempts;
use bulrushhall_core::Ran;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SCHEDULES: u64 = 120_000;
const MAX_ATTEMPTS: u32 = 4;

/// An `ActualOutcome` is what really happens to one attempt; only the test knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ActualOutcome {
    /// No connection could be opened.
    NotOpened,
    /// The backend server replies that it did not run the call.
    Rejected,
    /// The connection broke after the call was written, before the server read it.
    LostBefore,
    /// The connection broke after the server had run the call.
    LostAfter,
    /// The bytes are still in flight when the node times out; the server runs the call later.
    Delayed,
    /// The response arrived.
    Answered,
    /// The caller disconnected while the server was processing the call.
    Abandoned,
}

impl ActualOutcome {
    const ALL: [ActualOutcome; 7] = [
        ActualOutcome::NotOpened,
        ActualOutcome::Rejected,
        ActualOutcome::LostBefore,
        ActualOutcome::LostAfter,
        ActualOutcome::Delayed,
        ActualOutcome::Answered,
        ActualOutcome::Abandoned,
    ];

    fn runs(self) -> bool {
        matches!(
            self,
            ActualOutcome::LostAfter
                | ActualOutcome::Delayed
                | ActualOutcome::Answered
                | ActualOutcome::Abandoned
        )
    }

    // Returns the outcome that a node can observe; none if the attempt never ended for it.
    fn observed(self) -> Option<Ran> {
        match self {
            ActualOutcome::NotOpened | ActualOutcome::Rejected => Some(Ran::No),
            ActualOutcome::LostBefore | ActualOutcome::LostAfter | ActualOutcome::Delayed => {
                Some(Ran::Unknown)
            }
            ActualOutcome::Answered => Some(Ran::Yes),
            ActualOutcome::Abandoned => None,
        }
    }

    // Returns the outcome of a faulty node that counts every broken connection as not run.
    fn observed_wrongly(self) -> Option<Ran> {
        self.observed().map(|ran| if ran == Ran::Unknown { Ran::No } else { ran })
    }
}

/// The number of schedules with each violation.
#[derive(Debug, Default)]
struct Violations {
    /// Calls that ran more than once.
    ran_twice: u64,
    /// Calls that were reported as not run although an attempt ran or will run.
    false_not_run: u64,
    /// Calls that ended although a retry would have been safe.
    not_retried: u64,
}

// Guards against a non-repeatable call that runs twice, or is reported as not run although it did,
// so that its caller sends it again. Connections break at any point, servers refuse, bytes arrive
// late and callers disconnect.
#[test]
fn runs_once() {
    let violations = run(ActualOutcome::observed);
    assert_eq!(
        (violations.ran_twice, violations.false_not_run, violations.not_retried),
        (0, 0, 0),
        "{violations:?}"
    );
}

// The checks have to detect an injected fault in how broken connections are counted.
#[rstest]
#[case::ran_twice(|violations: &Violations| violations.ran_twice)]
#[case::false_not_run(|violations: &Violations| violations.false_not_run)]
fn injected_fault(#[case] count: fn(&Violations) -> u64) {
    let violations = run(ActualOutcome::observed_wrongly);
    assert!(0 < count(&violations), "{violations:?}");
}

fn run(observed: fn(ActualOutcome) -> Option<Ran>) -> Violations {
    let mut violations = Violations::default();
    for seed in 0..SCHEDULES {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut attempts = Attempts::default();
        let mut outcomes = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let outcome = ActualOutcome::ALL[random.random_range(0..ActualOutcome::ALL.len())];
            outcomes.push(outcome);
            attempts.begin();
            let Some(ran) = observed(outcome) else { break };
            attempts.end(ran);
            if !attempts.may_retry() {
                break;
            }
        }
        check(&mut violations, &outcomes, &attempts);
    }
    violations
}

fn check(violations: &mut Violations, outcomes: &[ActualOutcome], attempts: &Attempts) {
    let runs = outcomes.iter().filter(|outcome| outcome.runs()).count();
    violations.ran_twice += u64::from(1 < runs);
    violations.false_not_run += u64::from(0 < runs && attempts.ran() == Ran::No);
    let certainly_not_run = outcomes
        .iter()
        .all(|outcome| matches!(outcome, ActualOutcome::NotOpened | ActualOutcome::Rejected));
    violations.not_retried += u64::from(certainly_not_run && !attempts.may_retry());
}
