//! The configuration: watched in the key-value service, and told by other nodes.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Stamp};
use bulrushhall_external::kv::Change;
use bytes::Bytes;

use crate::{
    clock,
    cluster::{Follower, follow},
    gateway::Gateway,
    meters,
};

/// The wait of a watch: short enough that its answers keep the age of the configuration well below
/// the time for revocations, long enough to cost less than a call a second.
const WAIT: Duration = Duration::from_millis(1_500);

struct ConfigFollower {
    gateway: Arc<Gateway>,
}

/// Follows the configuration for ever.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let key = gateway.platform.records.config_key();
    let follower = ConfigFollower { gateway: Arc::clone(&gateway) };
    follow(gateway, key, WAIT, follower).await;
}

/// Puts a configuration in force unless one at least as new is; returns whether it can be read.
pub fn take_config(gateway: &Gateway, document: &Bytes, source: &'static str) -> bool {
    let table = match gateway.platform.records.read_config(document) {
        Ok(table) => table,
        Err(error) => {
            tracing::error!(event = Event::ConfigRejected.number(), ?error, source);
            return false;
        }
    };
    // Documents overtake each other on their ways. An older one would bring back a route or key
    // that was taken away; callers would see it served again.
    let before = gateway.revision();
    if table.revision <= before {
        return true;
    }
    tracing::info!(
        event = Event::ConfigInForce.number(),
        revision = table.revision.0,
        before = before.0,
        bytes = document.len(),
        source
    );
    meters::revision(table.revision.0);
    gateway.table.store(Some(Arc::new(table)));
    true
}

impl ConfigFollower {
    fn take(&self, moment: Stamp, changes: Vec<Change>) {
        let mut readable = true;
        for change in changes {
            let Some(value) = &change.value else { continue };
            if change.key == self.gateway.platform.records.config_key() {
                readable &= take_config(&self.gateway, value, "key-value service");
            }
        }
        if readable && self.gateway.table.load().is_some() {
            self.gateway.with(|state| state.freshness.note(moment));
        }
    }
}

impl Follower for ConfigFollower {
    fn is_fed(&self) -> bool {
        let own = self.gateway.revision();
        self.gateway.with(|state| state.is_config_fed(clock::now(), own))
    }

    fn fed(&self) {
        self.gateway.with(|state| state.config_lost = false);
    }

    fn regained(&self, _now: Stamp) {
        self.gateway.with(|state| state.config_lost = false);
    }

    fn lost(&self) {
        self.gateway.with(|state| state.config_lost = true);
    }

    fn listed(&self, asked: Stamp, changes: Vec<Change>) {
        self.take(asked, changes);
    }

    fn changed(&self, moment: Stamp, changes: Vec<Change>) {
        self.take(moment, changes);
    }
}
