//! Which nodes pass on news between availability zones, and whom a node exchanges news with.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{NodeName, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

/// `RelayOptions` tell when and how news goes through relays.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The most nodes that exchange news with each other directly.
    pub max_flat_nodes: usize,
    /// The relays of an availability zone that are heard.
    pub relays: usize,
    /// The silent nodes that are asked in a zone beside those, in the hope that they are back.
    pub silent_asked: usize,
    /// How long a node that was asked may stay silent before others take its place.
    pub silent_after: Duration,
}

impl Default for RelayOptions {
    fn default() -> Self {
        RelayOptions {
            max_flat_nodes: 16,
            relays: 1,
            silent_asked: 2,
            silent_after: Duration::from_millis(600),
        }
    }
}

/// A `Role` is a node's part in passing on news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// All nodes exchange news with each other.
    #[default]
    Flat,
    /// It tells its news to the relays of its zone and learns all others' from them.
    Member,
    /// It gathers the news of its zone and exchanges them with the relays of other zones.
    Relay,
}

/// A `RelayPeer` is another node as it is known when a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct RelayPeer<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Whether it was asked and did not answer for too long.
    pub silent: bool,
}

/// A `RelayPlan` tells a node's role and whom it exchanges news with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Its role.
    pub role: Role,
    /// The relays of its own zone, itself left out.
    pub near: Vec<NodeName>,
    /// The relays of all other zones; empty but for a relay.
    pub far: Vec<NodeName>,
    /// The node that becomes its zone's relay next; none where that is this node.
    ///
    /// It keeps what must outlive a relay: a relay that dies with counts of nodes that have ended would take
    /// these along.
    pub standby: Option<NodeName>,
}

impl RelayPlan {
    /// Returns whether a node is one of the relays that this one exchanges news with.
    pub fn includes(&self, node: &NodeName) -> bool {
        self.near.contains(node) || self.far.contains(node)
    }
}

impl RelayOptions {
    /// Returns the plan of a node.
    ///
    /// All nodes rank the nodes of a zone alike by a hash, so they agree on relays without a message. Where
    /// their views differ for a moment there are more relays or fewer, which costs messages only.
    /// `is_asked` tells that another node takes this one for a relay.
    pub fn plan<'a>(
        &self,
        own: RelayPeer<'a>,
        others: impl IntoIterator<Item = RelayPeer<'a>>,
        is_asked: RelayRequested,
    ) -> RelayPlan {
        let mut zones: BTreeMap<&ZoneName, Vec<RelayPeer<'a>>> = BTreeMap::new();
        zones.entry(own.zone).or_default().push(RelayPeer { silent: false, ..own });
        let mut nodes = 1;
        for peer in others {
            zones.entry(peer.zone).or_default().push(peer);
            nodes += 1;
        }
        if nodes <= self.max_flat_nodes {
            return RelayPlan::default();
        }
        let mut plan = RelayPlan { role: Role::Member, ..RelayPlan::default() };
        for (zone, peers) in zones {
            let (relays, standby) = self.relays_of(peers);
            if zone == own.zone {
                plan.standby = standby.filter(|node| *node != own.node).cloned();
            }
            for node in relays {
                if node == own.node {
                    plan.role = Role::Relay;
                } else if zone == own.zone {
                    plan.near.push(node.clone());
                } else {
                    plan.far.push(node.clone());
                }
            }
        }
        if is_asked == RelayRequested::Yes {
            plan.role = Role::Relay;
        }
        if plan.role != Role::Relay {
            plan.far.clear();
        }
        plan
    }

    // The first by rank that are not silent, some of the silent ones before them, and the next one.
    fn relays_of<'a>(
        &self,
        mut peers: Vec<RelayPeer<'a>>,
    ) -> (Vec<&'a NodeName>, Option<&'a NodeName>) {
        peers.sort_by_cached_key(|peer| (xxh3_64(peer.node.as_str().as_bytes()), peer.node));
        let mut relays = Vec::new();
        let (mut sound, mut silent) = (0, 0);
        for peer in peers {
            if !peer.silent && sound == self.relays {
                return (relays, Some(peer.node));
            }
            if !peer.silent {
                sound += 1;
            } else if silent < self.silent_asked && sound < self.relays {
                silent += 1;
            } else {
                continue;
            }
            relays.push(peer.node);
        }
        (relays, None)
    }
}

/// Whether another node takes this one for a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRequested {
    /// It was asked as a relay lately.
    Yes,
    /// Nobody asked it as a relay lately.
    No,
}
