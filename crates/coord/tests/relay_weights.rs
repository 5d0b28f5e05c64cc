//! Relays are nodes whose VMs can carry relaying.

use std::collections::BTreeSet;

use bulrushhall_coord::{
    CapacityWeight, Contact, RelayOptions, RelayPeer, RelayRanking, RelayRequested, Role,
    median_weight,
};
use bulrushhall_core::{NodeName, ZoneName};
use rstest::rstest;

const NODES: usize = 83;
const ZONES: usize = 4;

struct Node {
    name: NodeName,
    zone: ZoneName,
    weight: Option<CapacityWeight>,
    ranking: RelayRanking,
}

fn fleet(weight: impl Fn(usize) -> Option<f64>) -> Vec<Node> {
    let node = |at: usize| Node {
        name: NodeName::new(format!("entry-{at}")).expect("a name"),
        zone: ZoneName::new(format!("zone-{}", at % ZONES)).expect("a name"),
        weight: weight(at).and_then(CapacityWeight::new),
        ranking: RelayRanking::Weight,
    };
    (0..NODES).map(node).collect()
}

// Returns the positions of the nodes that consider themselves relays.
fn relays(nodes: &[Node], silent: impl Fn(usize) -> bool) -> BTreeSet<usize> {
    let mut relays = BTreeSet::new();
    for own in 0..nodes.len() {
        let peer = |at: usize| RelayPeer {
            node: &nodes[at].name,
            zone: &nodes[at].zone,
            contact: if silent(at) { Contact::Silent } else { Contact::Responsive },
            weight: nodes[at].weight,
            ranking: nodes[at].ranking,
        };
        let others = (0..nodes.len()).filter(|at| *at != own).map(peer);
        let plan = RelayOptions::default().plan(peer(own), others, RelayRequested::No);
        if plan.role == Role::Relay && !silent(own) {
            relays.insert(own);
        }
    }
    relays
}

// Guards against a VM with 0.09 of a core that relays, and against nodes that rank differently.
#[test]
fn large_vms_relay() {
    let weight = |at: usize| 0.09 + 0.41 * (at % 10) as f64 / 9.0;
    let nodes = fleet(|at| Some(weight(at)));
    let relays = relays(&nodes, |_| false);
    assert_eq!(relays.len(), ZONES);
    for at in relays {
        assert!(0.256 <= weight(at), "{} relays", weight(at));
    }
}

// Guards against a zone without a relay after the loss of its large nodes.
#[test]
fn small_vms_relay_for_lost_large_ones() {
    let is_large = |at: usize| at < 12;
    let nodes = fleet(|at| Some(if is_large(at) { 0.5 } else { 0.09 }));
    assert!(relays(&nodes, |_| false).into_iter().all(is_large));
    assert_eq!(relays(&nodes, is_large).len(), ZONES);
}

// Guards against nodes that report no weight and relay before larger ones
// or never.
#[rstest]
#[case(0.5, 0.1, true)]
#[case(0.1, 0.5, false)]
fn unknown_counts_as_median(#[case] few: f64, #[case] many: f64, #[case] few_relay: bool) {
    // Of each zone's nodes, two have the weight `few`, and a third of the others have none.
    let nodes = fleet(|at| match at {
        0..8 => Some(few),
        _ if at % 3 == 0 => None,
        _ => Some(many),
    });
    let relays = relays(&nodes, |_| false);
    assert_eq!(relays.len(), ZONES);
    assert!(relays.into_iter().all(|at| (at < 8) == few_relay));
}

// Guards against two networks of relays while a deployment is upgraded: a node of the earlier version sends
// its updates to the first node by hash, and the others would not receive them.
#[test]
fn earlier_version_ranks_by_name() {
    let mut nodes = fleet(|at| Some(if at < 12 { 0.5 } else { 0.09 }));
    let upgraded = relays(&nodes, |_| false);
    for node in &mut nodes {
        node.ranking = RelayRanking::Name;
    }
    let earlier = relays(&nodes, |_| false);
    assert_ne!(upgraded, earlier);
    for node in nodes.iter_mut().skip(1) {
        node.ranking = RelayRanking::Weight;
    }
    assert_eq!(relays(&nodes, |_| false), earlier);
}

#[rstest]
#[case(0.0, 1.0)]
#[case(f64::NAN, 1.0)]
#[case(100.1, 1.0)]
#[case(0.25, 0.25)]
fn false_weights_count_as_one(#[case] sent: f64, #[case] counted: f64) {
    assert_eq!(CapacityWeight::from(sent).value(), counted);
}

#[test]
fn median_of_known() {
    let known = [0.5, 0.1, 0.2].map(CapacityWeight::new);
    let all = known.into_iter().chain([None, None]);
    assert_eq!(median_weight(all), CapacityWeight::new(0.2));
    assert_eq!(median_weight([None]), None);
}
