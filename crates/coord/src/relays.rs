//! Which nodes relay updates between availability zones, and with which nodes each node exchanges
//! them. An update is the state that a node reports of itself, such as the usage of teams; a relay
//! forwards it to other nodes, in part as sums.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{CapacityWeight, median_weight};

/// `RelayOptions` determine when and how updates are exchanged through relays.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The upper bound of the nodes that all exchange updates with each other directly.
    pub max_flat_nodes: usize,
    /// The number of responsive relays of an availability zone.
    pub relays_per_zone: usize,
    /// The number of silent nodes of a zone that are contacted in addition, in case they have
    /// recovered.
    pub silent_probes: usize,
    /// How long a node may leave messages unanswered before another one takes its place.
    pub silent_after: Duration,
    /// The same for a node that has never been heard.
    pub unheard_silent_after: Duration,
}

/// The nodes that are asked at once for each silent one, while none of them has been heard.
const UNHEARD_PER_SILENT: usize = 3;

impl Default for RelayOptions {
    fn default() -> Self {
        RelayOptions {
            max_flat_nodes: 16,
            relays_per_zone: 1,
            silent_probes: 2,
            silent_after: Duration::from_millis(600),
            unheard_silent_after: Duration::from_millis(300),
        }
    }
}

/// A `Role` is a node's part in the exchange of updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It exchanges updates with all other nodes, as each of them does.
    #[default]
    Flat,
    /// It sends its updates to the relays of its zone and receives those of all other nodes from
    /// them.
    Member,
    /// It collects the updates of its zone and exchanges them with the relays of other zones.
    Relay,
}

/// A `RelayRanking` is the way in which a node ranks the nodes of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RelayRanking {
    /// By a hash of the name, as in the earlier version.
    #[default]
    Name,
    /// By the level of the weight, then by the hash.
    Weight,
}

/// A `Contact` states whether a node answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It answers.
    Responsive,
    /// It has never been heard and may be gone.
    Unheard,
    /// It has left messages unanswered for too long.
    Silent,
}

/// A `RelayPeer` is a node as an input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct RelayPeer<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Whether it answers.
    pub contact: Contact,
    /// Its weight; none if it reports none.
    pub weight: Option<CapacityWeight>,
    /// How it ranks the nodes of a zone.
    pub ranking: RelayRanking,
}

/// A `RelayPlan` is a node's role and the nodes with which it exchanges updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Its role.
    pub role: Role,
    /// The relays of its own zone, without itself.
    pub same_zone: Vec<NodeName>,
    /// The relays of all other zones; empty unless the node is a relay.
    pub other_zones: Vec<NodeName>,
    /// The node that becomes the next relay of its zone; none if that is this node.
    ///
    /// It keeps a copy of what must outlive the relay: otherwise the counts of nodes that have
    /// ended would be lost if the relay died.
    pub standby: Option<NodeName>,
    /// The relays of all zones, as far as this node can tell; it does not know which nodes of other
    /// zones are silent.
    pub relays: BTreeSet<NodeName>,
}

impl RelayPlan {
    /// Returns whether a node is one of the relays with which this one exchanges updates.
    pub fn includes(&self, node: &NodeName) -> bool {
        self.same_zone.contains(node) || self.other_zones.contains(node)
    }
}

impl RelayOptions {
    /// Returns the plan of a node.
    ///
    /// All nodes rank the nodes of a zone by the level of their weights and by the same hash, so they
    /// agree on the relays without exchanging messages. A node without a weight has the median of
    /// the weights of all nodes. As long as one node ranks by the hash alone, all do: two relays of a
    /// zone that don't know of each other would each report a part of its nodes. While their views differ there are more or fewer relays for a moment,
    /// which only costs messages. With `requested` this node is a relay because another node
    /// considers it one.
    pub fn plan<'a>(
        &self,
        own: RelayPeer<'a>,
        others: impl IntoIterator<Item = RelayPeer<'a>>,
        requested: RelayRequested,
    ) -> RelayPlan {
        let mut zones: BTreeMap<&ZoneName, Vec<RelayPeer<'a>>> = BTreeMap::new();
        zones.entry(own.zone).or_default().push(RelayPeer { contact: Contact::Responsive, ..own });
        let mut weights = vec![own.weight];
        let mut ranking = own.ranking;
        for peer in others {
            zones.entry(peer.zone).or_default().push(peer);
            weights.push(peer.weight);
            ranking = ranking.min(peer.ranking);
        }
        if weights.len() <= self.max_flat_nodes {
            return RelayPlan::default();
        }
        let median = median_weight(weights);
        let mut plan = RelayPlan { role: Role::Member, ..RelayPlan::default() };
        for (zone, peers) in zones {
            let (relays, standby) = self.relays_of(peers, ranking, median);
            if zone == own.zone {
                plan.standby = standby.filter(|node| *node != own.node).cloned();
            }
            for node in relays {
                plan.relays.insert(node.clone());
                if node == own.node {
                    plan.role = Role::Relay;
                } else if zone == own.zone {
                    plan.same_zone.push(node.clone());
                } else {
                    plan.other_zones.push(node.clone());
                }
            }
        }
        if requested == RelayRequested::Yes {
            plan.role = Role::Relay;
            plan.relays.insert(own.node.clone());
        }
        if plan.role != Role::Relay {
            plan.other_zones.clear();
        }
        plan
    }

    // Returns the relays of a zone, which are the first nodes by rank that aren't silent and some of the
    // silent ones ranked before them, and the next node after them that isn't silent.
    //
    // When many nodes are gone and their records remain, asking one after the other would take seconds, so
    // the nodes that are asked at once grow with those that were silent.
    fn relays_of<'a>(
        &self,
        mut peers: Vec<RelayPeer<'a>>,
        ranking: RelayRanking,
        median: Option<CapacityWeight>,
    ) -> (Vec<&'a NodeName>, Option<&'a NodeName>) {
        peers.sort_by_cached_key(|peer| {
            let level = match ranking {
                RelayRanking::Weight => peer.weight.or(median).map(CapacityWeight::level),
                RelayRanking::Name => None,
            };
            (Reverse(level), xxh3_64(peer.node.as_str().as_bytes()), peer.node)
        });
        let mut relays = Vec::new();
        let (mut responsive, mut unheard, mut silent) = (0, 0, 0);
        for peer in peers {
            let max_unheard = self.relays_per_zone.max(UNHEARD_PER_SILENT * silent);
            let is_complete =
                responsive == self.relays_per_zone || max_unheard <= responsive + unheard;
            match peer.contact {
                Contact::Responsive | Contact::Unheard if is_complete => {
                    return (relays, Some(peer.node));
                }
                Contact::Responsive => responsive += 1,
                Contact::Unheard => unheard += 1,
                Contact::Silent => {
                    silent += 1;
                    if is_complete || self.silent_probes < silent {
                        continue;
                    }
                }
            }
            relays.push(peer.node);
        }
        (relays, None)
    }
}

/// A `RelayRequested` states whether another node considers this one a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRequested {
    /// Another node has sent it updates as to a relay recently.
    Yes,
    /// No other node has sent it updates as to a relay recently.
    No,
}
