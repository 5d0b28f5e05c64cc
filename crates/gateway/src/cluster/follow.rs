//! Following the keys below a prefix of the key-value service through outages and lost history.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::{CallBudget, Purpose};
use bulrushhall_core::{Event, Stamp};
use bulrushhall_external::{
    CallFault,
    kv::{Change, Changes, Version},
};
use rand::RngExt;
use tokio::time::sleep;

use crate::{clock, gateway::Gateway, meters};

/// What the calls of a follower count as.
const RECORDS: Purpose = Purpose::Records;
/// The pause after a failed call; nodes draw from the upper half of it, doubled up to two times.
const PAUSE: Duration = Duration::from_millis(200);
/// The time between two looks at whether others still tell what is followed.
const FED_LOOK: Duration = Duration::from_millis(100);
/// The wait of the first watch after a failure.
const WAIT_FIRST: Duration = Duration::from_millis(100);
/// The status of a watch whose start is no longer in the service's history.
const HISTORY_GONE: u16 = 410;

/// A `Follower` takes in what is found below a prefix.
pub trait Follower: Send + Sync {
    /// Returns whether other nodes tell what is followed, so that the service need not be asked.
    fn is_fed(&self) -> bool {
        false
    }

    /// Notes that others tell what is followed.
    fn fed(&self) {}

    /// Returns how often others have told what is followed.
    fn times_fed(&self) -> u64 {
        0
    }

    /// Notes that the service answers again after calls that failed.
    fn regained(&self, _now: Stamp) {}

    /// Notes that the service does not answer.
    fn lost(&self) {}

    /// Takes in all keys, as they were at some moment after `asked`.
    fn listed(&self, asked: Stamp, changes: Vec<Change>);

    /// Takes in changes; nothing else changed up to `moment`.
    fn changed(&self, moment: Stamp, changes: Vec<Change>);
}

/// Follows the keys below `prefix` for ever, with watches of the length `wait`.
pub async fn follow(
    gateway: Arc<Gateway>,
    prefix: &'static str,
    wait: Duration,
    follower: impl Follower,
) {
    let mut at: Option<Version> = None;
    let mut failures: u32 = 0;
    let mut budget = CallBudget::with_rates(clock::now(), [(RECORDS, RECORDS.rate())]);
    let mut times_fed = 0;
    loop {
        if follower.is_fed() {
            follower.fed();
            (at, failures) = (None, 0);
            sleep(FED_LOOK).await;
            continue;
        }
        // What others told may be ahead of a watch or behind it: only a new list is sure to be complete.
        if follower.times_fed() != times_fed {
            times_fed = follower.times_fed();
            at = None;
        }
        // Changes that come in quick succession, as when many backend servers start, are told by one
        // answer. One call for each would take the service's calls from all nodes.
        while let Err(later) = budget.take(clock::now(), RECORDS) {
            sleep(later.since(clock::now())).await;
        }
        let asked = clock::now();
        let answer = match at {
            None => gateway.platform.key_value.list(prefix).await,
            Some(after) => {
                let wait = wait_after(failures, wait);
                gateway.platform.key_value.watch(prefix, after, wait).await
            }
        };
        // An answer that was under way meanwhile would bring back what has changed since.
        if follower.times_fed() != times_fed {
            continue;
        }
        match answer {
            Ok(found) => {
                if 0 < failures {
                    tracing::info!(event = Event::DependencyRegained.number(), prefix, failures);
                    follower.regained(clock::now());
                }
                let before = std::mem::take(&mut failures);
                let first = at.is_none();
                at = Some(found.version);
                if first {
                    follower.listed(asked, found.changes);
                } else {
                    let waited = wait_after(before, wait);
                    follower.changed(moment(asked, waited, &found), found.changes);
                }
            }
            Err(error) if error.fault == (CallFault::Refused { status: HISTORY_GONE }) => at = None,
            // A watch tells every version since its start, a list the newest ones only.
            Err(error) if error.fault == CallFault::TooLarge && at.is_some() => at = None,
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(event = Event::DependencyLost.number(), prefix, %error);
                    meters::dependency_lost(prefix);
                    follower.lost();
                }
                failures += 1;
                sleep(pause(failures)).await;
            }
        }
    }
}

// The first watch after a failure is short: when the service is back must not be learned only at the
// end of a whole wait, since records that lapsed may be missing for two seconds from then on.
fn wait_after(failures: u32, wait: Duration) -> Duration {
    if failures == 0 { wait } else { WAIT_FIRST.min(wait) }
}

fn pause(failures: u32) -> Duration {
    let full = PAUSE * (1 << failures.min(2));
    full.mul_f64(rand::rng().random_range(0.5..1.0))
}

// An empty answer was made when the wait was over; one with changes at any time after the call.
fn moment(asked: Stamp, wait: Duration, found: &Changes) -> Stamp {
    let waited = found.changes.is_empty() && wait <= clock::now().since(asked);
    if waited { asked + wait } else { asked }
}
