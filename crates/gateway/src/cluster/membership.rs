//! Nodes find each other through the key-value service.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_core::{NodeName, Stamp};
use bulrushhall_external::{
    CallError, CallFault,
    kv::{CasOutcome, Change, LeaseId, Version},
};
use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    clock,
    cluster::{Follower, MemberRecord, follow},
    gateway::{Gateway, Phase},
};

/// What lies below this prefix is watched by every node.
const PREFIX: &str = "bulrushhall/";
/// The prefix of the records of nodes.
const NODES: &str = "bulrushhall/nodes/";
/// The key of the holder of the duties.
pub const DUTY_KEY: &str = "bulrushhall/duty";
/// The wait of a watch.
const WAIT: Duration = Duration::from_secs(5);
/// How long a record stays after its node died.
const RECORD_TTL: Duration = Duration::from_secs(6);
/// The time between two renewals: two may fail before the record lapses.
const RENEW_EACH: Duration = Duration::from_secs(2);
/// The tries to write a record whose version changes meanwhile.
const TRIES: usize = 4;
/// The pause after a failed write.
const PAUSE: Duration = Duration::from_millis(500);

struct MemberFollower {
    gateway: Arc<Gateway>,
}

/// Follows the records of nodes for ever.
pub async fn follow_members(gateway: Arc<Gateway>) {
    let follower = MemberFollower { gateway: Arc::clone(&gateway) };
    follow(gateway, PREFIX, WAIT, follower).await;
}

/// Keeps this node's record in the key-value service until the node leaves.
pub async fn register(gateway: Arc<Gateway>) {
    let mut lease: Option<LeaseId> = None;
    while gateway.phase() == Phase::Serving {
        // A lease that lives on says nothing of the record, which may be gone all the same.
        let missing = gateway.with(|state| state.members.own_missing);
        let kept = match lease {
            Some(held) if !missing => gateway.platform.key_value.renew(held).await.map(|()| held),
            _ => write(&gateway).await,
        };
        match kept {
            Ok(held) => {
                lease = Some(held);
                pause_until_missing(&gateway).await;
            }
            // Whether it lapsed or could not be renewed: a new lease can't be wrong.
            Err(_) => {
                lease = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn pause_until_missing(gateway: &Gateway) {
    let until = clock::now() + RENEW_EACH;
    while clock::now() < until && !gateway.with(|state| state.members.own_missing) {
        sleep(PAUSE).await;
    }
}

async fn write(gateway: &Gateway) -> Result<LeaseId, CallError> {
    let kv = &gateway.platform.key_value;
    let encoded = rmp_serde::to_vec_named(&gateway.record());
    let value = encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain record"));
    let key = format!("{NODES}{}", gateway.settings.gateway.name);
    let lease = kv.grant(RECORD_TTL).await?;
    let mut expected = Version(0);
    // The record of an earlier life may still be there, and may lapse between two tries.
    for _ in 0..TRIES {
        match kv.put_if(&key, expected, value.clone(), Some(lease)).await? {
            CasOutcome::Written(_) => {
                gateway.with(|state| state.members.own_missing = false);
                return Ok(lease);
            }
            CasOutcome::Conflict(found) => expected = found.version,
        }
    }
    Err(CallError::not_done(CallFault::Closed))
}

impl MemberFollower {
    fn take(&self, change: &Change) -> Option<NodeName> {
        let present = change.value.as_ref().filter(|_| !change.removed);
        if change.key == DUTY_KEY {
            self.note_duty(present.is_some());
            return None;
        }
        let name = NodeName::new(change.key.strip_prefix(NODES)?).ok()?;
        if name == self.gateway.settings.gateway.name {
            self.gateway.with(|state| state.members.own_missing = present.is_none());
            return present.map(|_| name);
        }
        let Some(value) = present else {
            self.gateway.with(|state| state.members.unlist(&name));
            return None;
        };
        let record: MemberRecord = rmp_serde::from_slice(value).ok()?;
        self.gateway.with(|state| state.members.list(&name, record));
        Some(name)
    }

    fn note_duty(&self, held: bool) {
        self.gateway.with(|state| {
            state.members.duty_free_since = (!held).then(clock::now);
        });
    }
}

impl Follower for MemberFollower {
    fn is_fed(&self) -> bool {
        self.gateway.with(|state| state.relay_cursor(clock::now()).is_some())
    }

    fn times_fed(&self) -> u64 {
        self.gateway.with(|state| state.times_fed)
    }

    fn fed(&self) {
        // Who holds the duties is not told.
        self.gateway.with(|state| state.members.duty_free_since = None);
    }

    fn listed(&self, _asked: Stamp, changes: Vec<Change>) {
        self.note_duty(changes.iter().any(|change| change.key == DUTY_KEY));
        let listed: BTreeSet<NodeName> =
            changes.iter().filter_map(|change| self.take(change)).collect();
        let own = &self.gateway.settings.gateway.name;
        self.gateway.with(|state| {
            state.members.own_missing = !listed.contains(own);
            state.members.retain_listed(&listed);
        });
    }

    fn changed(&self, _moment: Stamp, changes: Vec<Change>) {
        for change in &changes {
            self.take(change);
        }
    }
}
