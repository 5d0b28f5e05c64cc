//! Random courses of the tries of one call, judged by what really ran.

use bulrushhall_coord::Attempts;
use bulrushhall_core::Ran;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SCHEDULES: u64 = 120_000;
const TRIES_MOST: u32 = 4;

/// What becomes of one try, as nobody but the test can see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// No connection could be opened.
    NotOpened,
    /// The backend server says that it did not run the call.
    Rejected,
    /// The connection broke after the call was written, before the server read it.
    LostBefore,
    /// It broke when the server had run the call.
    LostAfter,
    /// The bytes are still under way when the node gives up; the server runs the call later.
    Delayed,
    /// The answer came.
    Answered,
    /// The caller left while the call was with the server.
    Abandoned,
}

impl Fate {
    const ALL: [Fate; 7] = [
        Fate::NotOpened,
        Fate::Rejected,
        Fate::LostBefore,
        Fate::LostAfter,
        Fate::Delayed,
        Fate::Answered,
        Fate::Abandoned,
    ];

    fn runs(self) -> bool {
        matches!(self, Fate::LostAfter | Fate::Delayed | Fate::Answered | Fate::Abandoned)
    }

    // What a node can know; none where the try never ended for it.
    fn seen(self) -> Option<Ran> {
        match self {
            Fate::NotOpened | Fate::Rejected => Some(Ran::No),
            Fate::LostBefore | Fate::LostAfter | Fate::Delayed => Some(Ran::Unknown),
            Fate::Answered => Some(Ran::Yes),
            Fate::Abandoned => None,
        }
    }

    // As a node would see it that takes every broken connection for one without a run.
    fn seen_carelessly(self) -> Option<Ran> {
        self.seen().map(|ran| if ran == Ran::Unknown { Ran::No } else { ran })
    }
}

/// What the schedules showed.
#[derive(Debug, Default)]
struct Broken {
    /// Calls that ran more than once.
    twice: u64,
    /// Calls that were said not to have run, though one try ran or will.
    untrue: u64,
    /// Calls that ended although another try would have been safe.
    given_up: u64,
}

// An order is sent, a connection breaks at any point, a server refuses, bytes arrive late, or the caller
// leaves. A customer pays for two firings if it runs again, and sends it again if told falsely that it
// did not run.
#[test]
fn runs_once() {
    let broken = play(Fate::seen);
    assert_eq!((broken.twice, broken.untrue, broken.given_up), (0, 0, 0), "{broken:?}");
}

// The same with a fault planted in how broken connections are read: the checks above must see it.
#[rstest]
#[case::twice(|broken: &Broken| broken.twice)]
#[case::untrue(|broken: &Broken| broken.untrue)]
fn planted_fault(#[case] count: fn(&Broken) -> u64) {
    let broken = play(Fate::seen_carelessly);
    assert!(0 < count(&broken), "{broken:?}");
}

fn play(seen: fn(Fate) -> Option<Ran>) -> Broken {
    let mut broken = Broken::default();
    for seed in 0..SCHEDULES {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut attempts = Attempts::default();
        let mut fates = Vec::new();
        for _ in 0..TRIES_MOST {
            let fate = Fate::ALL[random.random_range(0..Fate::ALL.len())];
            fates.push(fate);
            attempts.begin();
            let Some(ran) = seen(fate) else { break };
            attempts.end(ran);
            if !attempts.may_retry() {
                break;
            }
        }
        judge(&mut broken, &fates, &attempts);
    }
    broken
}

fn judge(broken: &mut Broken, fates: &[Fate], attempts: &Attempts) {
    let runs = fates.iter().filter(|fate| fate.runs()).count();
    broken.twice += u64::from(1 < runs);
    broken.untrue += u64::from(0 < runs && attempts.ran() == Ran::No);
    let certain = fates.iter().all(|fate| matches!(fate, Fate::NotOpened | Fate::Rejected));
    broken.given_up += u64::from(certain && !attempts.may_retry());
}
