//! The other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bulrushhall_core::{Event, Incarnation, NodeName, ServiceName, Stamp, ZoneName};
use serde::{Deserialize, Serialize};

use crate::demand::Offered;

/// How long a node that is not heard still counts as there: four exchanges of 250 ms and a little.
const HEARD_FOR: Duration = Duration::from_millis(1_200);
/// How long a node without a record in the key-value service is kept while it is still heard.
const UNLISTED_FOR: Duration = Duration::from_secs(3);

/// A `MemberRecord` is what a node writes into the key-value service about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// This life of it.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
}

/// A `Member` is another node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its record.
    pub record: MemberRecord,
    /// Whether the record is in the key-value service.
    pub listed: bool,
    /// When it was last heard.
    pub heard_at: Option<Stamp>,
    /// When another node last told that it hears it.
    pub told_at: Option<Stamp>,
    /// Whether it said last that it serves callers.
    pub ready: bool,
    /// By how much its time of day is ahead, in milliseconds.
    pub day_ahead: Option<i64>,
    /// The work that it sends to the engines of each service.
    pub offered: BTreeMap<ServiceName, Offered>,
}

/// `Members` are the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<NodeName, Member>,
    /// Whether this node's own record is not in the key-value service.
    pub own_missing: bool,
    /// Since when the record of the duties' holder is not in the key-value service; none while it
    /// is, and before the service was asked.
    pub duty_free_since: Option<Stamp>,
}

impl Member {
    fn new(record: MemberRecord) -> Member {
        Member {
            record,
            listed: false,
            heard_at: None,
            told_at: None,
            ready: false,
            day_ahead: None,
            offered: BTreeMap::new(),
        }
    }

    fn is_heard(&self, now: Stamp) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < HEARD_FOR)
    }
}

impl Members {
    /// Takes in the record of a node that is in the key-value service.
    pub fn list(&mut self, name: &NodeName, record: MemberRecord) {
        if let Some(member) = self.upsert(name, record, "key-value service") {
            member.listed = true;
        }
    }

    /// Takes in the record of a node from its own word.
    ///
    /// The key-value service lacks the records of nodes that lost their way to it, and such nodes see no
    /// record that is written meanwhile. Were they not known to each other, a team would get its limit
    /// from each side, and what one side did would be missing in reports.
    pub fn introduce(&mut self, name: &NodeName, record: MemberRecord) {
        self.upsert(name, record, "itself");
    }

    /// Takes in the record of a node that another node hears.
    pub fn note_told(&mut self, now: Stamp, name: &NodeName, record: MemberRecord) {
        if let Some(member) = self.upsert(name, record, "node") {
            member.told_at = Some(now);
        }
    }

    /// Returns the nodes that are heard and have no record in the key-value service.
    pub fn unlisted(&self, now: Stamp) -> impl Iterator<Item = (&NodeName, &MemberRecord)> {
        let heard = self.nodes.iter().filter(move |(_, member)| member.is_heard(now));
        heard.filter(|(_, member)| !member.listed).map(|(name, member)| (name, &member.record))
    }

    // Returns the member with the record; none where a later life of the node is known.
    fn upsert(
        &mut self,
        name: &NodeName,
        record: MemberRecord,
        source: &'static str,
    ) -> Option<&mut Member> {
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
            self.nodes.insert(name.clone(), Member::new(record));
        }
        self.nodes.get_mut(name)
    }

    /// Notes that the record of a node is gone.
    pub fn unlist(&mut self, name: &NodeName) {
        if let Some(member) = self.nodes.get_mut(name) {
            member.listed = false;
        }
    }

    /// Keeps only those listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<NodeName>) {
        for (name, member) in &mut self.nodes {
            member.listed = listed.contains(name);
        }
    }

    /// Removes nodes without a record that nobody hears any more.
    pub fn expire(&mut self, now: Stamp) {
        self.nodes.retain(|name, member| {
            let last = member.heard_at.max(member.told_at);
            let heard = last.is_some_and(|at| now.since(at) < UNLISTED_FOR);
            if !member.listed && !heard {
                tracing::info!(event = Event::MemberLost.number(), node = %name);
            }
            member.listed || heard
        });
    }

    /// Returns a node, to be changed.
    pub fn get_mut(&mut self, name: &NodeName) -> Option<&mut Member> {
        self.nodes.get_mut(name)
    }

    /// Returns the other nodes.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        self.nodes.iter()
    }

    /// Returns by how much the times of day of the other nodes are ahead, in milliseconds.
    pub fn days_ahead(&self) -> impl Iterator<Item = i64> {
        self.nodes.values().filter_map(|member| member.day_ahead)
    }

    /// Returns the number of all nodes, this one included.
    pub fn count(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Returns the number of other nodes that are heard.
    pub fn heard(&self, now: Stamp) -> usize {
        self.nodes.values().filter(|member| member.is_heard(now)).count()
    }

    /// Returns whether a life of a node is known.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.nodes.values().any(|member| member.record.incarnation == incarnation)
    }

    /// Returns the callers' addresses of the other nodes that serve.
    ///
    /// A node that hears nobody can't tell who serves and names all: callers try others where one
    /// does not answer.
    pub fn serving(&self, now: Stamp) -> Vec<SocketAddr> {
        let deaf = self.heard(now) == 0;
        let mut addresses = Vec::new();
        for member in self.nodes.values() {
            if deaf || (member.is_heard(now) && member.ready) {
                addresses.push(member.record.callers);
            }
        }
        addresses
    }
}
