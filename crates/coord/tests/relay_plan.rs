//! The nodes with which each node exchanges updates, by its plan.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_coord::{
    CapacityWeight, Contact, RelayOptions, RelayPeer, RelayPlan, RelayRanking, RelayRequested,
    Role, SourceChoice, UpdateScope, UpdateSources,
};
use bulrushhall_core::{Incarnation, NodeName, Stamp, ZoneName};
use rstest::rstest;

const RELAYS: usize = 1;

struct Fleet {
    nodes: Vec<(NodeName, ZoneName)>,
    silent: BTreeSet<NodeName>,
}

impl Fleet {
    fn new(nodes: usize, zones: usize) -> Fleet {
        let node = |at: usize| NodeName::new(format!("entry-{at}")).expect("a name");
        let zone = |at: usize| ZoneName::new(format!("zone-{}", at % zones)).expect("a name");
        let nodes = (0..nodes).map(|at| (node(at), zone(at))).collect();
        Fleet { nodes, silent: BTreeSet::new() }
    }

    fn plan(&self, at: usize) -> RelayPlan {
        let peers = self.nodes.iter().map(|(node, zone)| {
            let is_silent = self.silent.contains(node);
            let contact = if is_silent { Contact::Silent } else { Contact::Responsive };
            RelayPeer { node, zone, contact, weight: None, ranking: RelayRanking::Name }
        });
        let mut peers: Vec<RelayPeer<'_>> = peers.collect();
        let own = peers.remove(at);
        RelayOptions::default().plan(own, peers, RelayRequested::No)
    }

    fn plans(&self) -> BTreeMap<NodeName, RelayPlan> {
        (0..self.nodes.len()).map(|at| (self.nodes[at].0.clone(), self.plan(at))).collect()
    }
}

#[test]
fn few_nodes() {
    assert!(Fleet::new(16, 4).plans().values().all(|plan| plan.role == Role::Flat));
}

// Guards against a number of messages that grows with the square of the nodes: the pairs of nodes
// that exchange updates grow with the nodes and the square of the zones.
#[rstest]
#[case(30, 4)]
#[case(60, 4)]
#[case(120, 6)]
#[case(340, 10)]
fn messages_of_all(#[case] nodes: usize, #[case] zones: usize) {
    let plans = Fleet::new(nodes, zones).plans();
    let pairs: usize =
        plans.values().map(|plan| plan.same_zone.len() + plan.other_zones.len()).sum();
    let relays = RELAYS * zones;
    assert!(pairs <= RELAYS * nodes + relays * relays, "{pairs} pairs");
    assert_eq!(plans.values().filter(|plan| plan.role == Role::Relay).count(), relays);
}

#[test]
fn nodes_agree_on_relays() {
    let fleet = Fleet::new(120, 6);
    let plans = fleet.plans();
    for (node, zone) in &fleet.nodes {
        let plan = &plans[node];
        for relay in plan.same_zone.iter().chain(&plan.other_zones) {
            assert_eq!(plans[relay].role, Role::Relay, "{node} of {zone} contacts {relay}");
        }
    }
}

// Guards against a zone that receives no updates because its relays are dead, and against a relay
// that is never contacted again.
#[test]
fn silent_relays() {
    let mut fleet = Fleet::new(120, 6);
    let plans = fleet.plans();
    let member = fleet.nodes.iter().position(|(node, _)| plans[node].role == Role::Member);
    let member = member.expect("a member");
    fleet.silent = plans[&fleet.nodes[member].0].same_zone.iter().cloned().collect();
    let plan = fleet.plan(member);
    let responsive = plan.same_zone.iter().filter(|node| !fleet.silent.contains(*node)).count();
    let is_relay = usize::from(plan.role == Role::Relay);
    assert_eq!(responsive + is_relay, RELAYS);
    assert!(fleet.silent.iter().all(|node| plan.same_zone.contains(node)));
}

// Guards against a node that asks one node after the other while many are gone whose records remain.
#[test]
fn many_are_gone() {
    const GONE: usize = 34;
    let node = |at: usize| NodeName::new(format!("entry-{at}")).expect("a name");
    let zone = ZoneName::new("zone").expect("a name");
    let nodes: Vec<NodeName> = (0..2 * GONE).map(node).collect();
    let weight = |at: usize| CapacityWeight::new(if at < GONE { 8.0 } else { 1.0 });
    let mut asked = BTreeSet::new();
    // A node that was asked in a round is silent in the next one.
    for round in 0.. {
        let peer = |at: usize| RelayPeer {
            node: &nodes[at],
            zone: &zone,
            contact: if asked.contains(&at) { Contact::Silent } else { Contact::Unheard },
            weight: weight(at),
            ranking: RelayRanking::Weight,
        };
        let others = (0..nodes.len() - 1).map(peer);
        let own = peer(nodes.len() - 1);
        let plan = RelayOptions::default().plan(own, others, RelayRequested::No);
        let is_new = |at: &usize| plan.same_zone.contains(&nodes[*at]) && !asked.contains(at);
        let new: Vec<usize> = (0..nodes.len()).filter(is_new).collect();
        if new.iter().any(|at| GONE <= *at) {
            assert!(round <= 3, "{round} rounds, {} asked", asked.len());
            return;
        }
        asked.extend(new);
    }
}

// Guards against losing the counts of nodes that have ended with the only relay that knew them.
#[test]
fn standby_follows() {
    let mut fleet = Fleet::new(120, 6);
    let plans = fleet.plans();
    let relays: Vec<NodeName> = plans
        .iter()
        .filter(|(_, plan)| plan.role == Role::Relay)
        .map(|(node, _)| node.clone())
        .collect();
    let standbys: BTreeSet<NodeName> =
        plans.values().filter_map(|plan| plan.standby.clone()).collect();
    assert_eq!(standbys.len(), 6);
    fleet.silent = relays.into_iter().collect();
    for (at, (node, _)) in fleet.nodes.iter().enumerate() {
        if fleet.silent.contains(node) {
            continue;
        }
        let is_relay = fleet.plan(at).role == Role::Relay;
        assert_eq!(is_relay, standbys.contains(node), "{node}");
    }
}

#[test]
fn requested_as_relay() {
    let fleet = Fleet::new(120, 6);
    let peers: Vec<RelayPeer<'_>> = fleet
        .nodes
        .iter()
        .map(|(node, zone)| RelayPeer {
            node,
            zone,
            contact: Contact::Responsive,
            weight: None,
            ranking: RelayRanking::Name,
        })
        .collect();
    for at in 0..peers.len() {
        let mut others = peers.clone();
        let own = others.remove(at);
        let plan = RelayOptions::default().plan(own, others, RelayRequested::Yes);
        assert_eq!(plan.role, Role::Relay);
        assert!(!plan.other_zones.is_empty());
    }
}

// Guards against requests that count twice because two relays report them.
#[test]
fn one_source() {
    let at = Stamp::from_millis;
    let (one, other) = (Incarnation(1), Incarnation(2));
    let mut sources = UpdateSources::default();
    let scope = || UpdateScope::Others;
    assert_eq!(sources.offer(at(0), scope(), one, 20), SourceChoice::Accepted { previous: None });
    assert_eq!(sources.offer(at(100), scope(), other, 20), SourceChoice::Ignored);
    assert_eq!(sources.offer(at(200), scope(), one, 20), SourceChoice::Accepted { previous: None });
    // The first relay becomes silent.
    let choice = sources.offer(at(1_000), scope(), other, 20);
    assert_eq!(choice, SourceChoice::Accepted { previous: Some(one) });
    assert!(sources.contains(other) && !sources.contains(one));
    // A relay that has just started covers few nodes, and is ignored until it covers more nodes than
    // the other one.
    assert_eq!(sources.offer(at(1_100), scope(), one, 3), SourceChoice::Ignored);
    let choice = sources.offer(at(1_200), scope(), one, 30);
    assert_eq!(choice, SourceChoice::Accepted { previous: Some(other) });
}
