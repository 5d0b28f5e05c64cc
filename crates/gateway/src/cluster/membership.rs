//! Registration of nodes in the key-value service, through which they find each other.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_coord::{
    RecordCall, RecordLease, RecordLeaseOptions, RecordPresence, RecordReply, decode_message,
};
use bulrushhall_core::{NodeName, Stamp};
use bulrushhall_external::{
    CallError, CallFault,
    kv::{CasOutcome, Change, LeaseId, Version},
};
use bytes::Bytes;
use tokio::time::{sleep, timeout};

use crate::{
    brittle::node_hash,
    clock,
    cluster::{
        Follower, MemberRecord,
        block_records::{apply_block, restore_blocks},
        follow,
    },
    gateway::{Gateway, Phase},
    startup::Stage,
};

/// The prefix of all keys that every node watches.
pub const PREFIX: &str = "bulrushhall/";
/// The prefix of the records of nodes.
const NODE_PREFIX: &str = "bulrushhall/nodes/";
/// The key of the holder of the duties.
pub const DUTY_KEY: &str = "bulrushhall/duty";
/// The duration of a watch.
const WAIT: Duration = Duration::from_secs(5);
/// The time after which the record of a dead node expires.
pub const RECORD_TTL: Duration = Duration::from_secs(6);
/// The number of attempts to write a record whose version changes concurrently.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// The interval of checks whether the record is missing.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The status of a renewal of a lease that the service does not have.
const LEASE_GONE: u16 = 404;

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
    let pause_factor = 0.5 + node_hash(&gateway.settings.gateway.name) as f64 / u64::MAX as f64;
    let options =
        RecordLeaseOptions { ttl: RECORD_TTL, pause_factor, ..RecordLeaseOptions::default() };
    let mut lease = RecordLease::new(clock::now(), options);
    let mut era = gateway.era();
    while gateway.phase() == Phase::Serving {
        // The id of a lease of an earlier era may belong to another node now.
        let current = gateway.era();
        if era != current {
            era = current;
            lease.reset(clock::now());
        }
        // The record may have been removed although its lease is still valid.
        let missing = gateway.with(|state| state.members.own_record_missing);
        let presence = if missing { RecordPresence::Missing } else { RecordPresence::Present };
        let Some(call) = lease.tick(clock::now(), presence) else {
            let until_due = lease.next_call_at().since(clock::now());
            sleep(until_due.min(MISSING_CHECK_INTERVAL)).await;
            continue;
        };
        let reply = match call {
            RecordCall::Write => open_and_write(&gateway).await,
            RecordCall::Attach(lease) => write(&gateway, LeaseId(lease), Lease::Opened).await,
            RecordCall::Renew(lease) => renew(&gateway, LeaseId(lease), options.call_timeout).await,
        };
        // The response is of another era than the lease; the next round notices it.
        if era.is_some() && era != gateway.era() {
            continue;
        }
        lease.reply(clock::now(), reply);
        gateway.with(|state| state.members.own_record_kept_at = lease.kept_at());
    }
}

async fn renew(gateway: &Gateway, lease: LeaseId, call_timeout: Duration) -> RecordReply {
    match timeout(call_timeout, gateway.platform.key_value.renew(lease)).await {
        Ok(Ok(())) => RecordReply::Kept(lease.0),
        Ok(Err(error)) if is_gone(&error) => RecordReply::Gone,
        Ok(Err(_)) | Err(_) => RecordReply::Failed,
    }
}

async fn open_and_write(gateway: &Gateway) -> RecordReply {
    let Ok(lease) = gateway.platform.key_value.grant(RECORD_TTL).await else {
        return RecordReply::Failed;
    };
    write(gateway, lease, Lease::New).await
}

/// Whether a lease was opened for the present attempt to write the record.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lease {
    New,
    Opened,
}

async fn write(gateway: &Gateway, id: LeaseId, lease: Lease) -> RecordReply {
    let kv = &gateway.platform.key_value;
    let encoded = rmp_serde::to_vec_named(&gateway.record());
    let value = encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain record"));
    let key = format!("{NODE_PREFIX}{}", gateway.settings.gateway.name);
    // The record of an earlier incarnation may still exist, and may expire between two attempts.
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let expected = gateway.with(|state| state.members.own_record_version);
        match kv.put_if(&key, expected, value.clone(), Some(id)).await {
            Ok(CasOutcome::Written(version)) => {
                gateway.with(|state| {
                    state.members.own_record_missing = false;
                    state.members.own_record_version = version;
                    state.startup.note(clock::now(), Stage::RecordWritten);
                });
                return RecordReply::Kept(id.0);
            }
            Ok(CasOutcome::Conflict(found)) => {
                gateway.with(|state| state.members.own_record_version = found.version);
            }
            Err(error) if is_gone(&error) => return RecordReply::Gone,
            Err(_) => break,
        }
    }
    if lease == Lease::New { RecordReply::Granted(id.0) } else { RecordReply::Failed }
}

fn is_gone(error: &CallError) -> bool {
    error.fault == (CallFault::Refused { status: LEASE_GONE })
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
            let version = present.map_or(Version(0), |_| change.version);
            self.gateway.with(|state| {
                state.members.own_record_missing = present.is_none();
                state.members.own_record_version = version;
            });
            return present.map(|_| name);
        }
        let Some(value) = present else {
            self.gateway.with(|state| state.members.note_unlisted(&name));
            return None;
        };
        let record: MemberRecord = decode_message(value).ok()?;
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
