//! The backend servers, as they register themselves in the key-value service.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_core::{Event, Stamp};
use bulrushhall_external::kv::Change;

use crate::{
    clock,
    gateway::Gateway,
    knowledge::{Follower, follow},
};

/// The wait of a watch. On a connection that went silent, a server that leaves is noticed only when
/// the watch should long have ended.
const WAIT: Duration = Duration::from_millis(2_000);

struct BackendFollower {
    gateway: Arc<Gateway>,
    prefix: &'static str,
}

/// Follows the records of backend servers for ever.
pub async fn follow_backends(gateway: Arc<Gateway>) {
    let prefix = gateway.platform.records.backend_prefix();
    let follower = BackendFollower { gateway: Arc::clone(&gateway), prefix };
    follow(gateway, prefix, WAIT, follower).await;
}

impl BackendFollower {
    fn take(&self, change: &Change) -> Option<String> {
        let name = change.key.strip_prefix(self.prefix)?;
        let now = clock::now();
        let seen = self.gateway.seen();
        let Some(value) = change.value.as_ref().filter(|_| !change.removed) else {
            self.gateway.with(|state| state.backends.missing(now, name, seen));
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
    fn listed(&self, _asked: Stamp, changes: Vec<Change>) {
        let listed: BTreeSet<String> =
            changes.iter().filter_map(|change| self.take(change)).collect();
        let seen = self.gateway.seen();
        let now = clock::now();
        self.gateway.with(|state| state.backends.retain_listed(now, &listed, seen));
    }

    fn changed(&self, _moment: Stamp, changes: Vec<Change>) {
        for change in &changes {
            self.take(change);
        }
    }
}
