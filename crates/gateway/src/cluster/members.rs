//! The other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bulrushhall_core::{Event, Incarnation, NodeName, ServiceName, Stamp, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{change_log::ChangeLog, cluster::MemberNews, demand::Offered};

/// How long a node that is not heard still counts as there: four exchanges of 250 ms and a little.
const HEARD_FOR: Duration = Duration::from_millis(1_200);
/// How long a node without a record in the key-value service is kept while it is still heard.
const UNLISTED_FOR: Duration = Duration::from_secs(3);

/// The nodes whose records went last of which is known when.
const GONE_KEPT: usize = 2_048;

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
    /// The number of the last change of that.
    pub changed_at: u64,
    /// When it was last heard, by this node or by a relay that passed it on.
    pub last_received: Option<Stamp>,
    /// When this node last heard it.
    pub direct_at: Option<Stamp>,
    /// Since when it owes this node an answer.
    pub unanswered_since: Option<Stamp>,
    /// When another node last told that it hears it.
    pub told_at: Option<Stamp>,
    /// Whether it said last that it serves callers.
    pub ready: bool,
    /// By how much its time of day is ahead, in milliseconds.
    pub day_ahead: Option<i64>,
    /// The work that it sends to the engines of each service, or that those send of which it tells.
    pub offered: BTreeMap<ServiceName, Offered>,
}

/// `Members` are the other nodes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<NodeName, Member>,
    lives: BTreeMap<Incarnation, NodeName>,
    /// The changes of what is in the key-value service since the start.
    changes: ChangeLog<NodeName, GONE_KEPT>,
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
            changed_at: 0,
            last_received: None,
            direct_at: None,
            unanswered_since: None,
            told_at: None,
            ready: false,
            day_ahead: None,
            offered: BTreeMap::new(),
        }
    }

    /// Notes a message of the node itself.
    pub fn note_message(&mut self, now: Stamp, ready: bool) {
        self.last_received = Some(now);
        self.direct_at = Some(now);
        self.unanswered_since = None;
        self.ready = ready;
    }

    /// Notes that a relay heard the node at `at`.
    pub fn note_passed_on(&mut self, at: Stamp, ready: bool) {
        if self.last_received < Some(at) {
            self.last_received = Some(at);
            self.ready = ready;
        }
    }

    /// Returns whether the node itself, or a relay of it, was heard lately.
    pub fn is_heard(&self, now: Stamp) -> bool {
        self.last_received.is_some_and(|at| now.since(at) < HEARD_FOR)
    }

    /// Returns whether this node heard it lately.
    pub fn is_heard_here(&self, now: Stamp) -> bool {
        self.direct_at.is_some_and(|at| now.since(at) < HEARD_FOR)
    }

    /// Returns whether it has owed an answer for `longest` or longer.
    pub fn is_silent(&self, now: Stamp, longest: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| longest <= now.since(since))
    }
}

impl Members {
    /// Takes in the record of a node that is in the key-value service.
    pub fn list(&mut self, name: &NodeName, record: MemberRecord) {
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
        let heard = self.nodes.iter().filter(move |(_, member)| member.is_heard_here(now));
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
            if let Some(known) = known {
                self.lives.remove(&known.incarnation);
            }
            self.lives.insert(record.incarnation, name.clone());
            self.nodes.insert(name.clone(), Member::new(record));
        }
        self.nodes.get_mut(name)
    }

    /// Notes that the record of a node is gone.
    pub fn unlist(&mut self, name: &NodeName) {
        let Some(member) = self.nodes.get_mut(name).filter(|member| member.listed) else { return };
        member.listed = false;
        self.changes.note_gone(name.clone());
    }

    /// Keeps only those listed.
    pub fn retain_listed(&mut self, listed: &BTreeSet<NodeName>) {
        let names: Vec<NodeName> = self.nodes.keys().cloned().collect();
        for name in names.iter().filter(|name| !listed.contains(*name)) {
            self.unlist(name);
        }
    }

    /// Returns the changes after that with the number `after`, or all records where these are not known any
    /// more.
    pub fn news(&self, after: u64) -> MemberNews {
        let records = |after| {
            let listed = self.nodes.iter().filter(|(_, member)| member.listed);
            let changed = listed.filter(|(_, member)| after < member.changed_at);
            changed.map(|(name, member)| (name.clone(), member.record.clone())).collect()
        };
        let is_listed = |name: &NodeName| self.nodes.get(name).is_some_and(|node| node.listed);
        self.changes.news(after, records, is_listed)
    }

    /// Takes in what the node `teller` told of changes; `own` is this node.
    pub fn take_news(&mut self, news: MemberNews, teller: &NodeName, own: &NodeName) {
        let MemberNews { after, records, gone, .. } = news;
        if after == 0 {
            let mut names: BTreeSet<NodeName> =
                records.iter().map(|(name, _)| name.clone()).collect();
            self.own_missing = !names.contains(own);
            // It does not tell of itself.
            names.insert(teller.clone());
            self.retain_listed(&names);
        }
        for name in gone {
            self.own_missing |= name == *own;
            self.unlist(&name);
        }
        for (name, record) in records {
            if name == *own {
                self.own_missing = false;
                continue;
            }
            self.list(&name, record);
        }
    }

    /// Removes nodes without a record that nobody hears any more.
    pub fn expire(&mut self, now: Stamp) {
        let lives = &mut self.lives;
        self.nodes.retain(|name, member| {
            let last = member.last_received.max(member.told_at);
            let heard = last.is_some_and(|at| now.since(at) < UNLISTED_FOR);
            if !member.listed && !heard {
                tracing::info!(event = Event::MemberLost.number(), node = %name);
                lives.remove(&member.record.incarnation);
            }
            member.listed || heard
        });
    }

    /// Returns a node.
    pub fn get(&self, name: &NodeName) -> Option<&Member> {
        self.nodes.get(name)
    }

    /// Returns a node, to be changed.
    pub fn get_mut(&mut self, name: &NodeName) -> Option<&mut Member> {
        self.nodes.get_mut(name)
    }

    /// Returns one life of a node, to be changed.
    pub fn life_mut(&mut self, life: Incarnation) -> Option<&mut Member> {
        self.nodes.get_mut(self.lives.get(&life)?)
    }

    /// Drops what all nodes told of their work.
    pub fn forget_offered(&mut self) {
        self.nodes.values_mut().for_each(|member| member.offered.clear());
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
    pub fn live_count(&self, now: Stamp) -> usize {
        self.nodes.values().filter(|member| member.is_heard(now)).count()
    }

    /// Returns whether some node takes others' connections at an address.
    pub fn has_port(&self, address: SocketAddr) -> bool {
        self.nodes.values().any(|member| member.record.peers == address)
    }

    /// Returns whether a life of a node is known.
    pub fn is_known(&self, incarnation: Incarnation) -> bool {
        self.lives.contains_key(&incarnation)
    }

    /// Returns the callers' addresses of the other nodes that serve.
    ///
    /// A node that hears nobody can't tell who serves and names all: callers try others where one
    /// does not answer.
    pub fn serving(&self, now: Stamp) -> Vec<SocketAddr> {
        let deaf = self.live_count(now) == 0;
        let mut addresses = Vec::new();
        for member in self.nodes.values() {
            if deaf || (member.is_heard(now) && member.ready) {
                addresses.push(member.record.callers);
            }
        }
        addresses
    }
}
