//! Registration of nodes in the key-value service, through which they find each other.

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
    cluster::{
        Follower, MemberRecord,
        block_records::{apply_block, restore_blocks},
        follow,
    },
    gateway::{Gateway, Phase},
};

/// The prefix of all keys that every node watches.
const PREFIX: &str = "bulrushhall/";
/// The prefix of the records of nodes.
const NODE_PREFIX: &str = "bulrushhall/nodes/";
/// The key of the holder of the duties.
pub const DUTY_KEY: &str = "bulrushhall/duty";
/// The duration of a watch.
const WAIT: Duration = Duration::from_secs(5);
/// The time after which the record of a dead node expires.
const RECORD_TTL: Duration = Duration::from_secs(6);
/// The interval of renewals: two may fail before the record expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// The number of attempts to write a record whose version changes concurrently.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// The pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

struct MemberFollower {
    gateway: Arc<Gateway>,
}

/// Follows the records of nodes forever.
pub async fn follow_members(gateway: Arc<Gateway>) {
    let follower = MemberFollower { gateway: Arc::clone(&gateway) };
    follow(gateway, PREFIX, WAIT, follower).await;
}

/// Keeps this node's record in the key-value service until the node leaves.
pub async fn register(gateway: Arc<Gateway>) {
    let mut lease: Option<LeaseId> = None;
    let mut era = gateway.era();
    while gateway.phase() == Phase::Serving {
        // The id of a lease of an earlier era may belong to another node now.
        let current = gateway.era();
        if era != current {
            (era, lease) = (current, None);
        }
        // The record may have been removed although its lease is still valid.
        let missing = gateway.with(|state| state.members.own_record_missing);
        let kept = match lease {
            Some(held) if !missing => gateway.platform.key_value.renew(held).await.map(|()| held),
            _ => write(&gateway).await,
        };
        match kept {
            Ok(_) if era.is_some() && era != gateway.era() => {}
            Ok(held) => {
                lease = Some(held);
                wait_for_renewal(&gateway).await;
            }
            // Whether the lease expired or could not be renewed, a new one is safe.
            Err(_) => {
                lease = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn wait_for_renewal(gateway: &Gateway) {
    let until = clock::now() + RENEW_INTERVAL;
    while clock::now() < until && !gateway.with(|state| state.members.own_record_missing) {
        sleep(RETRY_PAUSE).await;
    }
}

async fn write(gateway: &Gateway) -> Result<LeaseId, CallError> {
    let kv = &gateway.platform.key_value;
    let encoded = rmp_serde::to_vec_named(&gateway.record());
    let value = encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain record"));
    let key = format!("{NODE_PREFIX}{}", gateway.settings.gateway.name);
    let lease = kv.grant(RECORD_TTL).await?;
    let mut expected = Version(0);
    // The record of an earlier incarnation may still exist, and may expire between two attempts.
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match kv.put_if(&key, expected, value.clone(), Some(lease)).await? {
            CasOutcome::Written(_) => {
                gateway.with(|state| state.members.own_record_missing = false);
                return Ok(lease);
            }
            CasOutcome::Conflict(found) => expected = found.version,
        }
    }
    Err(CallError::not_done(CallFault::Closed))
}

impl MemberFollower {
    fn apply(&self, change: &Change) -> Option<NodeName> {
        let present = change.value.as_ref().filter(|_| !change.removed);
        if change.key == DUTY_KEY {
            self.note_duty(present.is_some());
            return None;
        }
        apply_block(&self.gateway, change);
        let name = NodeName::new(change.key.strip_prefix(NODE_PREFIX)?).ok()?;
        if name == self.gateway.settings.gateway.name {
            self.gateway.with(|state| state.members.own_record_missing = present.is_none());
            return present.map(|_| name);
        }
        let Some(value) = present else {
            self.gateway.with(|state| state.members.note_unlisted(&name));
            return None;
        };
        let record: MemberRecord = rmp_serde::from_slice(value).ok()?;
        self.gateway.with(|state| state.members.note_listed(&name, record));
        Some(name)
    }

    fn note_duty(&self, held: bool) {
        self.gateway.with(|state| {
            state.members.duty_free_since = (!held).then(clock::now);
        });
    }
}

impl Follower for MemberFollower {
    fn is_relayed(&self) -> bool {
        self.gateway.with(|state| state.relay_cursor(clock::now()).is_some())
    }

    fn relayed_update_count(&self) -> u64 {
        self.gateway.with(|state| state.relayed_update_count)
    }

    fn note_relayed(&self) {
        // Relays do not report the holder of the duties.
        self.gateway.with(|state| state.members.duty_free_since = None);
    }

    fn apply_list(&self, _requested_at: Stamp, changes: Vec<Change>) {
        self.note_duty(changes.iter().any(|change| change.key == DUTY_KEY));
        let listed: BTreeSet<NodeName> =
            changes.iter().filter_map(|change| self.apply(change)).collect();
        restore_blocks(&self.gateway, &changes);
        let own = &self.gateway.settings.gateway.name;
        self.gateway.with(|state| {
            state.members.own_record_missing = !listed.contains(own);
            state.members.retain_listed(&listed);
        });
    }

    fn apply_changes(&self, _known_at: Stamp, changes: Vec<Change>) {
        for change in &changes {
            self.apply(change);
        }
    }
}
