//! The backend servers, as they register themselves in the key-value service.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_core::{Event, Stamp};
use bulrushhall_external::kv::Change;

use crate::{
    clock,
    cluster::{Follower, follow},
    gateway::Gateway,
};

/// The wait of a watch. On a connection that went silent, a server that leaves is noticed only when
/// the watch should long have ended.
const WAIT: Duration = Duration::from_millis(2_000);

struct BackendFollower {
    gateway: Arc<Gateway>,
    prefix: &'static str,
    returned_at: Mutex<Option<Stamp>>,
}

/// Follows the records of backend servers for ever.
pub async fn follow_backends(gateway: Arc<Gateway>) {
    let prefix = gateway.platform.records.backend_prefix();
    let follower =
        BackendFollower { gateway: Arc::clone(&gateway), prefix, returned_at: Mutex::default() };
    follow(gateway, prefix, WAIT, follower).await;
}

impl BackendFollower {
    fn returned_at(&self) -> Option<Stamp> {
        *self.returned_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn take(&self, change: &Change) -> Option<String> {
        let name = change.key.strip_prefix(self.prefix)?;
        let now = clock::now();
        let returned_at = self.returned_at();
        let Some(value) = change.value.as_ref().filter(|_| !change.removed) else {
            self.gateway.with(|state| state.backends.note_missing(now, name, returned_at));
            return None;
        };
        match self.gateway.platform.records.read_backend(value) {
            Ok(record) => self.gateway.with(|state| state.backends.upsert(name, record)),
            Err(error) => {
                // A record of another writer names no server to use.
                tracing::warn!(event = Event::RecordIgnored.number(), backend = name, ?error);
                self.gateway.with(|state| state.backends.remove(name));
                return None;
            }
        }
        Some(name.to_owned())
    }
}

impl Follower for BackendFollower {
    fn is_fed(&self) -> bool {
        self.gateway.with(|state| state.relay_cursor(clock::now()).is_some())
    }

    fn times_fed(&self) -> u64 {
        self.gateway.with(|state| state.times_fed)
    }

    fn fed(&self) {
        // What this node has says no more than what the relay says.
        self.gateway.with(|state| state.records_steady_since = None);
    }

    fn regained(&self, now: Stamp) {
        let mut returned_at =
            self.returned_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        *returned_at = Some(now);
        self.gateway.with(|state| state.records_steady_since = Some(now));
    }

    fn lost(&self) {
        self.gateway.with(|state| state.records_steady_since = None);
    }

    fn listed(&self, _asked: Stamp, changes: Vec<Change>) {
        let listed: BTreeSet<String> =
            changes.iter().filter_map(|change| self.take(change)).collect();
        let returned_at = self.returned_at();
        let now = clock::now();
        self.gateway.with(|state| {
            state.backends.retain_listed(now, &listed, returned_at);
            state.records_steady_since.get_or_insert(now);
        });
    }

    fn changed(&self, _moment: Stamp, changes: Vec<Change>) {
        for change in &changes {
            self.take(change);
        }
    }
}
