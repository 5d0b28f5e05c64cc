//! Following of the records of backend servers, which register themselves in the key-value service.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_coord::Role;
use bulrushhall_core::{Event, Stamp};
use bulrushhall_external::kv::Change;

use crate::{
    clock,
    cluster::{Follower, WatchSubject, follow},
    gateway::Gateway,
    startup::Stage,
};

/// The duration of a watch of a relay, which supplies records only while they are at most 1 s old.
const RELAY_WAIT: Duration = Duration::from_millis(700);
/// The duration of a watch. On a connection that went silent, a server that leaves is noticed only
/// after the watch should have ended.
const WAIT: Duration = Duration::from_millis(2_000);

struct BackendFollower {
    gateway: Arc<Gateway>,
    prefix: &'static str,
    recovered_at: Mutex<Option<Stamp>>,
}

/// Follows the records of backend servers forever.
pub async fn follow_backends(gateway: Arc<Gateway>) {
    let prefix = gateway.platform.records.backend_prefix();
    let follower =
        BackendFollower { gateway: Arc::clone(&gateway), prefix, recovered_at: Mutex::default() };
    follow(gateway, prefix, WAIT, follower).await;
}

impl BackendFollower {
    fn recovered_at(&self) -> Option<Stamp> {
        *self.recovered_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn apply(&self, change: &Change) -> Option<String> {
        let name = change.key.strip_prefix(self.prefix)?;
        let now = clock::now();
        let recovered_at = self.recovered_at();
        let Some(value) = change.value.as_ref().filter(|_| !change.removed) else {
            self.gateway.with(|state| state.backends.note_missing(now, name, recovered_at));
            return None;
        };
        match self.gateway.platform.records.read_backend(value) {
            Ok(record) => self.gateway.with(|state| state.backends.upsert(now, name, record)),
            Err(error) => {
                // A malformed record was written by another program and identifies no usable server.
                tracing::warn!(event = Event::RecordIgnored.number(), backend = name, ?error);
                self.gateway.with(|state| state.backends.remove(name));
                return None;
            }
        }
        Some(name.to_owned())
    }
}

impl Follower for BackendFollower {
    fn is_relayed(&self) -> bool {
        self.gateway.with(|state| state.relay_cursor(clock::now()).is_some())
    }

    fn max_wait(&self) -> Duration {
        let role = self.gateway.with(|state| state.relays.role);
        if role == Role::Relay { RELAY_WAIT } else { WAIT }
    }

    fn subject(&self) -> Option<WatchSubject> {
        Some(WatchSubject::Backends)
    }

    fn note_watched(&self, known_at: Stamp) {
        let now = clock::now();
        self.gateway.with(|state| {
            // Watches of other nodes are not independent evidence that the service had no outage.
            state.records_steady_since = Some(now);
            state.records_known_at = state.records_known_at.max(Some(known_at));
        });
    }

    fn relayed_update_count(&self) -> u64 {
        self.gateway.with(|state| state.relayed_update_count)
    }

    fn note_relayed(&self) {
        // Records that come from a relay are not independent evidence of the key-value service's state.
        self.gateway.with(|state| state.records_steady_since = None);
    }

    fn note_recovered(&self, now: Stamp) {
        let mut recovered_at =
            self.recovered_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        *recovered_at = Some(now);
        self.gateway.with(|state| state.records_steady_since = Some(now));
    }

    // Live servers write their records again, as after an outage.
    fn note_restored(&self, now: Stamp) {
        self.note_recovered(now);
        self.gateway.with(|state| state.backends.note_restored(now));
    }

    fn note_outage(&self) {
        self.gateway.with(|state| state.records_steady_since = None);
    }

    fn apply_list(&self, requested_at: Stamp, changes: Vec<Change>) {
        let listed: BTreeSet<String> =
            changes.iter().filter_map(|change| self.apply(change)).collect();
        let recovered_at = self.recovered_at();
        let now = clock::now();
        self.gateway.with(|state| {
            state.backends.retain_listed(now, &listed, recovered_at);
            state.records_steady_since.get_or_insert(now);
            state.records_known_at = Some(requested_at);
            state.startup.note(now, Stage::ServersListed);
        });
    }

    fn apply_changes(&self, known_at: Stamp, changes: Vec<Change>) {
        for change in &changes {
            self.apply(change);
        }
        self.gateway.with(|state| state.records_known_at = Some(known_at));
    }
}
