//! The other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{CapacityWeight, RelayRanking};
use bulrushhall_core::{Event, Incarnation, NodeName, ServiceName, Stamp, ZoneName};
use bulrushhall_external::{http::Endpoint, kv::Version};
use serde::{Deserialize, Serialize};

use crate::{
    backends::Pool,
    change_log::ChangeLog,
    cluster::{MemberUpdates, gossip::endpoint},
};

/// The heartbeat timeout of a node: four gossip intervals of 250 ms and a margin.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a node without a record in the key-value service is kept after its last digest, or after another
/// node last reported it as alive.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of tombstones of removed records.
const MAX_TOMBSTONES: usize = 2_048;

/// A `MemberRecord` is what a node writes into the key-value service about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for callers' requests.
    pub callers: SocketAddr,
    /// Its address for gossip with other nodes.
    pub peers: SocketAddr,
    /// Its weight by the capacity of its VM; none if that is not configured, and for nodes of an
    /// earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<CapacityWeight>,
    /// How it ranks the relays of a zone.
    #[serde(default)]
    pub relay_ranking: RelayRanking,
}

/// A `Member` is another node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its record.
    pub record: MemberRecord,
    /// Whether the record is in the key-value service.
    pub listed: bool,
    /// The number of the last change of its registration.
    pub changed_at: u64,
    /// When its last digest was received by this node or by a relay.
    pub last_received: Option<Stamp>,
    /// When its last digest was received by this node.
    pub last_direct: Option<Stamp>,
    /// Since when a reply to this node is pending.
    pub unanswered_since: Option<Stamp>,
    /// When another node last reported it as alive and without a record.
    pub last_reported: Option<Stamp>,
    /// Whether it serves callers, by its last digest.
    pub ready: bool,
    /// The offset of its wall clock from this node's, in milliseconds.
    pub clock_offset_ms: Option<i64>,
    /// Whether its last digest had facts; nodes of an earlier version send none.
    pub sends_facts: bool,
    /// The services that it has lost its way to, by its last digest.
    pub lost_services: BTreeSet<ServiceName>,
    /// The mark of the blocks that it has, by its last digest; none for nodes of an earlier version.
    pub block_mark: Option<u64>,
    /// The connections over which it carries requests of this node.
    pub pool: Arc<Pool>,
    /// The client by which it is asked for streams and gets copies of them.
    pub endpoint: Arc<Endpoint>,
}

/// `Members` are the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<NodeName, Member>,
    incarnations: BTreeMap<Incarnation, NodeName>,
    /// The changes of the nodes' records in the key-value service since the start.
    changes: ChangeLog<NodeName, MAX_TOMBSTONES>,
    /// Whether this node's own record is not in the key-value service.
    pub own_record_missing: bool,
    /// When the last call that kept this node's own record was sent.
    pub own_record_kept_at: Option<Stamp>,
    /// The last known version of this node's own record in the key-value service; 0 if it has none.
    pub own_record_version: Version,
    /// Since when the key-value service has no record of a holder of the duties; none while there is a
    /// record, and before the first list.
    pub duty_free_since: Option<Stamp>,
}

impl Member {
    fn new(record: MemberRecord) -> Member {
        Member {
            pool: Arc::new(Pool::new(record.peers)),
            endpoint: Arc::new(endpoint(record.peers)),
            record,
            listed: false,
            changed_at: 0,
            last_received: None,
            last_direct: None,
            unanswered_since: None,
            last_reported: None,
            ready: false,
            clock_offset_ms: None,
            sends_facts: false,
            block_mark: None,
            lost_services: BTreeSet::new(),
        }
    }

    /// Notes a digest of the node itself.
    pub fn note_digest(&mut self, now: Stamp, ready: bool) {
        self.last_received = Some(now);
        self.last_direct = Some(now);
        self.unanswered_since = None;
        self.ready = ready;
    }

    /// Notes that a relay received a digest of the node at `at`; returns whether that is the last one.
    pub fn note_relayed(&mut self, at: Stamp, ready: bool) -> bool {
        let is_last = self.last_received < Some(at);
        if is_last {
            self.last_received = Some(at);
            self.ready = ready;
        }
        is_last
    }

    /// Returns whether it can carry requests to a service.
    pub fn carries(&self, now: Stamp, service: &ServiceName) -> bool {
        self.is_live(now) && self.ready && !self.lost_services.contains(service)
    }

    /// Returns whether the node is alive: its last digest, also through a relay, is within the timeout.
    pub fn is_live(&self, now: Stamp) -> bool {
        self.last_received.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether its last digest to this node itself is within the heartbeat timeout.
    pub fn is_live_direct(&self, now: Stamp) -> bool {
        self.last_direct.is_some_and(|at| now.since(at) < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether its reply has been pending for `timeout` or longer.
    pub fn is_silent(&self, now: Stamp, timeout: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| timeout <= now.since(since))
    }
}

impl Members {
    /// Adds the record of a node from the key-value service.
    pub fn note_listed(&mut self, name: &NodeName, record: MemberRecord) {
        let is_new =
            self.upsert(name, record, "key-value service").is_some_and(|node| !node.listed);
        if !is_new {
            return;
        }
        let changed_at = self.changes.note();
        if let Some(member) = self.nodes.get_mut(name) {
            (member.listed, member.changed_at) = (true, changed_at);
        }
    }

    /// Adds the record of a node from its own digest.
    ///
    /// The key-value service loses the records of nodes that can't reach it, and such nodes see no record
    /// that is written meanwhile. If the two sides did not know each other, a team would get its limit
    /// on each side, and usage reports would lack the requests of one side.
    pub fn note_self_reported(&mut self, name: &NodeName, record: MemberRecord) {
        self.upsert(name, record, "itself");
    }

    /// Adds the record of a node that another node reports as alive.
    pub fn note_reported(&mut self, now: Stamp, name: &NodeName, record: MemberRecord) {
        if let Some(member) = self.upsert(name, record, "node") {
            member.last_reported = Some(now);
        }
    }

    /// Returns the nodes that are alive and have no record in the key-value service.
    pub fn unlisted(&self, now: Stamp) -> impl Iterator<Item = (&NodeName, &MemberRecord)> {
        let live = self.nodes.iter().filter(move |(_, member)| member.is_live_direct(now));
        live.filter(|(_, member)| !member.listed).map(|(name, member)| (name, &member.record))
    }

    // Returns the member with the record; none if a later incarnation of the node is known.
    fn upsert(
        &mut self,
        name: &NodeName,
        mut record: MemberRecord,
        source: &'static str,
    ) -> Option<&mut Member> {
        // A node of an earlier version forwards records without these fields. They do not change within an
        // incarnation, and a changed record would discard what is known of the node.
        if let Some(known) = self.nodes.get_mut(name)
            && known.record.incarnation == record.incarnation
        {
            record.weight = known.record.weight.or(record.weight);
            known.record.weight = record.weight;
            record.relay_ranking = known.record.relay_ranking.max(record.relay_ranking);
            known.record.relay_ranking = record.relay_ranking;
        }
        let known = self.nodes.get(name).map(|known| &known.record);
        if known.is_some_and(|known| record.incarnation < known.incarnation) {
            return None;
        }
        if known != Some(&record) {
            tracing::info!(
                event = Event::MemberSeen.number(),
                node = %name,
                address = %record.peers,
                incarnation = record.incarnation.0,
                source
            );
            if let Some(known) = known {
                self.incarnations.remove(&known.incarnation);
            }
            self.incarnations.insert(record.incarnation, name.clone());
            self.nodes.insert(name.clone(), Member::new(record));
        }
        self.nodes.get_mut(name)
    }

    /// Notes that the record of a node was removed.
    pub fn note_unlisted(&mut self, name: &NodeName) {
        let Some(member) = self.nodes.get_mut(name).filter(|member| member.listed) else { return };
        member.listed = false;
        self.changes.note_removed(name.clone());
    }

    /// Notes that the records of all nodes that are not in `listed` were removed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<NodeName>) {
        let names: Vec<NodeName> = self.nodes.keys().cloned().collect();
        for name in names.iter().filter(|name| !listed.contains(*name)) {
            self.note_unlisted(name);
        }
    }

    /// Returns the updates after the change `after`, or all records if the log does not reach back that far.
    pub fn updates_since(&self, after: u64) -> MemberUpdates {
        let records = |after| {
            let listed = self.nodes.iter().filter(|(_, member)| member.listed);
            let changed = listed.filter(|(_, member)| after < member.changed_at);
            changed.map(|(name, member)| (name.clone(), member.record.clone())).collect()
        };
        let is_listed = |name: &NodeName| self.nodes.get(name).is_some_and(|node| node.listed);
        self.changes.updates_since(after, records, is_listed)
    }

    /// Applies updates from the node `sender`; `own` is this node.
    pub fn apply_updates(&mut self, updates: MemberUpdates, sender: &NodeName, own: &NodeName) {
        let MemberUpdates { after, records, removed, .. } = updates;
        if after == 0 {
            let mut names: BTreeSet<NodeName> =
                records.iter().map(|(name, _)| name.clone()).collect();
            self.own_record_missing = !names.contains(own);
            // It does not report itself.
            names.insert(sender.clone());
            self.retain_listed(&names);
        }
        for name in removed {
            self.own_record_missing |= name == *own;
            self.note_unlisted(&name);
        }
        for (name, record) in records {
            if name == *own {
                self.own_record_missing = false;
                continue;
            }
            self.note_listed(&name, record);
        }
    }

    /// Removes nodes that have no record and whose last digest or report as alive is too old.
    pub fn expire(&mut self, now: Stamp) {
        let incarnations = &mut self.incarnations;
        self.nodes.retain(|name, member| {
            let last = member.last_received.max(member.last_reported);
            let live = last.is_some_and(|at| now.since(at) < UNLISTED_TIMEOUT);
            if !member.listed && !live {
                tracing::info!(event = Event::MemberLost.number(), node = %name);
                incarnations.remove(&member.record.incarnation);
            }
            member.listed || live
        });
    }

    /// Returns a node.
    pub fn get(&self, name: &NodeName) -> Option<&Member> {
        self.nodes.get(name)
    }

    /// Returns a mutable reference to a node.
    pub fn get_mut(&mut self, name: &NodeName) -> Option<&mut Member> {
        self.nodes.get_mut(name)
    }

    /// Returns a mutable reference to the node with an incarnation.
    pub fn by_incarnation_mut(&mut self, incarnation: Incarnation) -> Option<&mut Member> {
        self.nodes.get_mut(self.incarnations.get(&incarnation)?)
    }

    /// Returns the other nodes.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.nodes.iter()
    }

    /// Returns whether a node that exchanges digests with this one sends no facts.
    pub fn has_earlier_version(&self, now: Stamp) -> bool {
        self.nodes.values().any(|member| member.is_live_direct(now) && !member.sends_facts)
    }

    /// Returns the offsets of the other nodes' wall clocks from this node's, in milliseconds.
    pub fn clock_offsets(&self) -> impl Iterator<Item = i64> {
        self.nodes.values().filter_map(|member| member.clock_offset_ms)
    }

    /// Returns the number of all nodes, this one included.
    pub fn count(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Returns the number of other nodes that are alive.
    pub fn live_count(&self, now: Stamp) -> usize {
        self.nodes.values().filter(|member| member.is_live(now)).count()
    }

    /// Returns whether an address is the one at which some node receives gossip.
    pub fn has_peer_address(&self, address: SocketAddr) -> bool {
        self.nodes.values().any(|member| member.record.peers == address)
    }

    /// Returns whether an incarnation of a node is known.
    pub fn is_known(&self, incarnation: Incarnation) -> bool {
        self.incarnations.contains_key(&incarnation)
    }

    /// Returns the callers' addresses of the other nodes that serve.
    pub fn serving(&self, now: Stamp) -> Vec<SocketAddr> {
        self.serving_members(now).map(|(_, member)| member.record.callers).collect()
    }

    /// Returns the other nodes that serve callers.
    ///
    /// A node that receives no digests can't tell which nodes serve and returns all of them: callers try
    /// another address if one does not respond.
    pub fn serving_members(&self, now: Stamp) -> impl Iterator<Item = (&NodeName, &Member)> {
        let isolated = self.live_count(now) == 0;
        let serves = move |(_, member): &(&NodeName, &Member)| {
            isolated || (member.is_live(now) && member.ready)
        };
        self.nodes.iter().filter(serves)
    }
}
