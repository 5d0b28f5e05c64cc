//! Following of the configuration in the key-value service, and its activation from any source.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::rollouts::{OrderId, RolloutPhase};
use bulrushhall_core::{Event, Revision, ServiceName, Stamp};
use bulrushhall_external::kv::Change;
use bytes::Bytes;

use crate::{
    clock,
    cluster::{Follower, WatchSubject, follow},
    gateway::{Gateway, State},
    meters,
    startup::Stage,
};

/// The duration of a watch: short enough that its responses keep the age of the configuration well below
/// the time bound for revocations, long enough to cost less than a call a second.
const WAIT: Duration = Duration::from_millis(1_500);
/// The duration of a watch that others may rely on: they read the configuration themselves 1.8 s after the last proof, and
/// a proof takes up to 0.45 s to reach them.
const SHARED_WAIT: Duration = Duration::from_millis(1_250);
/// The number of nodes from which watches are shared.
const MIN_SHARING_NODES: usize = 3;

struct ConfigFollower {
    gateway: Arc<Gateway>,
}

/// Follows the configuration and the orders for roll-outs forever.
pub async fn follow_config(gateway: Arc<Gateway>) {
    let prefix = gateway.platform.records.operator_prefix();
    let follower = ConfigFollower { gateway: Arc::clone(&gateway) };
    follow(gateway, prefix, WAIT, follower).await;
}

/// Activates a configuration unless one at least as new is active; returns its revision if it can be
/// parsed.
pub fn activate_config(
    gateway: &Gateway,
    document: &Bytes,
    source: &'static str,
) -> Option<Revision> {
    let table = match gateway.platform.records.read_config(document) {
        Ok(table) => table,
        Err(error) => {
            tracing::error!(event = Event::ConfigRejected.number(), ?error, source);
            return None;
        }
    };
    // Documents may arrive out of order, and from several sources at once. An older one would restore a route or key that was
    // removed since.
    let (revision, table) = (table.revision, Arc::new(table));
    let before = gateway.table.rcu(|current| match current {
        Some(current) if revision <= current.revision => Some(Arc::clone(current)),
        _ => Some(Arc::clone(&table)),
    });
    let before = before.map_or(Revision(0), |table| table.revision);
    if revision <= before {
        return Some(revision);
    }
    tracing::info!(
        event = Event::ConfigInForce.number(),
        revision = revision.0,
        before = before.0,
        bytes = document.len(),
        source
    );
    meters::revision(gateway.revision().0);
    gateway.note_stage(Stage::Configured);
    Some(revision)
}

impl ConfigFollower {
    fn apply(&self, known_at: Stamp, changes: Vec<Change>) {
        let mut readable = true;
        let mut newest = None;
        for change in changes {
            self.apply_rollout(&change);
            let Some(value) = &change.value else { continue };
            if change.key == self.gateway.platform.records.config_key() {
                let revision = activate_config(&self.gateway, value, "key-value service");
                readable &= revision.is_some();
                newest = newest.max(revision);
            }
        }
        let own = self.gateway.revision();
        self.gateway.with(|state| {
            if newest.is_some_and(|newest| own <= newest) {
                state.config_restored_older = false;
            }
            // A restored service may lack a newer configuration until its operators write it again.
            if readable && own != Revision(0) && !state.config_restored_older {
                state.note_config_newest(known_at);
            }
        });
    }
}

impl ConfigFollower {
    fn rollout_service(&self, change: &Change) -> Option<ServiceName> {
        let prefix = self.gateway.platform.records.rollout_prefix();
        ServiceName::new(change.key.strip_prefix(prefix)?).ok()
    }

    fn apply_rollout(&self, change: &Change) {
        let Some(service) = self.rollout_service(change) else { return };
        let id = OrderId { era: self.gateway.era(), version: change.version.0 };
        let Some(value) = change.value.as_ref().filter(|_| !change.removed) else {
            // An order that is withdrawn before its end is not carried out.
            self.gateway.with(|state| {
                if state.rollouts.known.is_withdrawn_by(&service, id) {
                    state.rollouts.end(&service, RolloutPhase::Reverted, &state.backends);
                }
            });
            return;
        };
        let order = match self.gateway.platform.records.read_rollout(&service, value) {
            Ok(order) => order,
            Err(error) => {
                tracing::warn!(
                    event = Event::RecordIgnored.number(),
                    rollout = service.as_str(),
                    ?error
                );
                return;
            }
        };
        let now = clock::now();
        let rollouts =
            |state: &mut State| state.rollouts.known.note_order(now, &service, id, &order);
        if self.gateway.with(rollouts) {
            tracing::info!(
                event = Event::RolloutOrdered.number(),
                service = service.as_str(),
                target = order.target.as_str(),
                duration_ms = order.duration.as_secs_f64() * 1_000.0
            );
        }
    }
}

impl Follower for ConfigFollower {
    fn is_relayed(&self) -> bool {
        let own = self.gateway.revision();
        self.gateway.with(|state| state.is_config_relayed(clock::now(), own))
    }

    fn subject(&self) -> Option<WatchSubject> {
        Some(WatchSubject::Config)
    }

    fn max_wait(&self) -> Duration {
        let count = self.gateway.with(|state| state.members.count());
        if MIN_SHARING_NODES <= count { SHARED_WAIT } else { WAIT }
    }

    fn note_relayed(&self) {
        self.gateway.with(|state| state.config_lost = false);
    }

    fn note_recovered(&self, _now: Stamp) {
        self.gateway.with(|state| state.config_lost = false);
    }

    fn note_outage(&self) {
        self.gateway.with(|state| state.config_lost = true);
    }

    fn apply_list(&self, requested_at: Stamp, changes: Vec<Change>) {
        let listed: Vec<ServiceName> =
            changes.iter().filter_map(|change| self.rollout_service(change)).collect();
        self.apply(requested_at, changes);
        self.gateway.with(|state| {
            let restored_at = state.eras.restored_at();
            let withdrawn = state.rollouts.known.withdrawn(requested_at, &listed, restored_at);
            for service in withdrawn {
                state.rollouts.end(&service, RolloutPhase::Reverted, &state.backends);
            }
        });
    }

    fn apply_changes(&self, known_at: Stamp, changes: Vec<Change>) {
        self.apply(known_at, changes);
    }
}
