//! Following of the keys below a prefix of the key-value service, through outages and lost history.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::{CallBudget, Purpose, WatchNeed, WatchProof};
use bulrushhall_core::{Era, Event, Stamp};
use bulrushhall_external::{
    CallFault,
    kv::{Change, Changes, Version},
};
use rand::RngExt;
use tokio::time::sleep;

use crate::{clock, cluster::WatchSubject, gateway::Gateway, meters, random};

/// The purpose against whose call budget a follower's calls count.
const RECORDS: Purpose = Purpose::Records;
/// The base of the pause after a failed call: it doubles at most twice, and jitter shortens it by up to half.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The shortest sleep: a budget may be due within less than the resolution of the clock.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// The interval of checks whether relays still supply what is followed.
const RELAYED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of checks whether other nodes still prove that their watches are alive.
const EVIDENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The duration of the first watch after a failure, and after watches of other nodes made one unnecessary.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The status of a watch whose start is no longer in the service's history.
const HISTORY_GONE: u16 = 410;

/// A `Follower` applies the keys and changes below a prefix.
pub trait Follower: Send + Sync {
    /// Returns whether relays supply what is followed, so that the service need not be called.
    fn is_relayed(&self) -> bool {
        false
    }

    /// Returns the longest duration of a watch.
    fn max_wait(&self) -> Duration {
        Duration::MAX
    }

    /// Returns the subject, if watches of other nodes may make this node's own one unnecessary.
    fn subject(&self) -> Option<WatchSubject> {
        None
    }

    /// Notes that the watches of other nodes returned no change up to `known_at` that is not known.
    fn note_watched(&self, _known_at: Stamp) {}

    /// Notes that relays supply what is followed.
    fn note_relayed(&self) {}

    /// Returns the number of updates that relays have supplied.
    fn relayed_update_count(&self) -> u64 {
        0
    }

    /// Notes that the service responds again after failed calls.
    fn note_recovered(&self, _now: Stamp) {}

    /// Notes that the service was restored from an older copy of its data.
    fn note_restored(&self, _now: Stamp) {}

    /// Notes that the service does not respond.
    fn note_outage(&self) {}

    /// Applies a list of all keys, as they were at some moment after `requested_at`.
    fn apply_list(&self, requested_at: Stamp, changes: Vec<Change>);

    /// Applies changes; nothing else changed up to `known_at`.
    fn apply_changes(&self, known_at: Stamp, changes: Vec<Change>);
}

/// Follows the keys below `prefix` forever, with watches of the duration `wait`.
pub async fn follow(
    gateway: Arc<Gateway>,
    prefix: &'static str,
    wait: Duration,
    follower: impl Follower,
) {
    let mut version: Option<Version> = None;
    let mut failures: u32 = 0;
    let mut budget = CallBudget::with_rates(clock::now(), [(RECORDS, RECORDS.rate())]);
    let mut relayed_update_count = 0;
    let mut era = gateway.era();
    let mut last_change = Version(0);
    // Whether the watches of other nodes made this node's own one unnecessary until now.
    let mut was_watched = false;
    let note_own = |proof| {
        if let Some(subject) = follower.subject() {
            gateway.with(|state| state.watches.note_own(subject, proof));
        }
    };
    loop {
        // A version of an earlier era may have been given out again.
        let current = gateway.era();
        if era != current {
            if era.is_some() {
                follower.note_restored(clock::now());
                version = None;
            }
            era = current;
        }
        if follower.is_relayed() {
            follower.note_relayed();
            note_own(None);
            (version, failures) = (None, 0);
            sleep(RELAYED_CHECK_INTERVAL).await;
            continue;
        }
        // Updates from a relay may be ahead of a watch or behind it: only a new list is sure to be complete.
        if follower.relayed_update_count() != relayed_update_count {
            relayed_update_count = follower.relayed_update_count();
            version = None;
        }
        let need = match version {
            Some(version) if failures == 0 => need(&gateway, &follower, (era, version)),
            _ => WatchNeed::Watch,
        };
        if let WatchNeed::Nothing { known_at } = need {
            note_own(None);
            follower.note_watched(known_at);
            was_watched = true;
            sleep(EVIDENCE_CHECK_INTERVAL).await;
            continue;
        }
        // The first watch after a failure is short: the node has to learn quickly that the service has recovered,
        // because from then on expired records may be missing only for two seconds. The same holds after watches
        // of other nodes: the connection was not used meanwhile and may be silent.
        let is_first = std::mem::take(&mut was_watched) || need == WatchNeed::Read || 0 < failures;
        let duration = wait.min(follower.max_wait());
        let duration = if is_first { FIRST_WAIT.min(duration) } else { duration };
        // The budget batches changes that come in quick succession, as when many backend servers start,
        // into one response. A call for each change would use up the calls that the service has for all
        // nodes.
        while let Err(later) = budget.take(clock::now(), RECORDS) {
            sleep(later.since(clock::now()).max(MIN_SLEEP)).await;
        }
        let requested_at = clock::now();
        let result = match version {
            None => gateway.platform.key_value.list(prefix).await,
            Some(after) => gateway.platform.key_value.watch(prefix, after, duration).await,
        };
        // An update of a relay arrived during the call; the response may be older and would undo it.
        if follower.relayed_update_count() != relayed_update_count {
            continue;
        }
        // The response is of another era than the version that it continues from.
        if era.is_some() && era != gateway.era() {
            continue;
        }
        match result {
            Ok(found) => {
                if 0 < failures {
                    tracing::info!(event = Event::DependencyRegained.number(), prefix, failures);
                    follower.note_recovered(clock::now());
                }
                failures = 0;
                let first = version.is_none();
                version = Some(found.version);
                let known_at = if first {
                    // A list does not show when a key was last removed.
                    last_change = found.version;
                    follower.apply_list(requested_at, found.changes);
                    requested_at
                } else {
                    let newest = found.changes.iter().map(|change| change.version).max();
                    last_change = newest.map_or(last_change, |newest| newest.max(last_change));
                    let known_at = known_at(requested_at, duration, &found);
                    follower.apply_changes(known_at, found.changes);
                    known_at
                };
                note_own(Some(WatchProof { known_at, last_change: last_change.0, era }));
            }
            Err(error) if error.fault == (CallFault::Refused { status: HISTORY_GONE }) => {
                version = None
            }
            // A watch returns every version since its start, a list only the newest ones.
            Err(error) if error.fault == CallFault::TooLarge && version.is_some() => version = None,
            Err(error) => {
                note_own(None);
                if failures == 0 {
                    tracing::warn!(event = Event::DependencyLost.number(), prefix, %error);
                    meters::dependency_lost(prefix);
                    follower.note_outage();
                }
                failures += 1;
                sleep(pause(failures)).await;
            }
        }
    }
}

// Returns whether a follower whose state is complete up to a version of an era has to call the service.
fn need(
    gateway: &Gateway,
    follower: &impl Follower,
    (era, version): (Option<Era>, Version),
) -> WatchNeed {
    let Some(subject) = follower.subject() else { return WatchNeed::Watch };
    let own = &gateway.settings.gateway.name;
    gateway.with(|state| {
        let role = state.relays.role;
        state.watches.need(clock::now(), subject, (own, role), (era, version.0))
    })
}

fn pause(failures: u32) -> Duration {
    let full = RETRY_PAUSE * (1 << failures.min(2));
    full.mul_f64(random::rng().random_range(0.5..1.0))
}

// An empty response was made at the end of the wait, one with changes at any time after the call.
fn known_at(requested_at: Stamp, wait: Duration, found: &Changes) -> Stamp {
    let waited = found.changes.is_empty() && wait <= clock::now().since(requested_at);
    if waited { requested_at + wait } else { requested_at }
}
