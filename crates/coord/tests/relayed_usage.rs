//! Usage of teams that relays of availability zones pass on.

use bulrushhall_coord::{
    TeamCounts, UsageCounts, Window,
    usage::{UsageScope, WindowSelection},
};
use bulrushhall_core::{Incarnation, TeamName, ZoneName};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const WINDOW: Window = Window(1);
const ZONES: usize = 3;
const OF_ZONE: usize = 4;
const NODES: usize = ZONES * OF_ZONE;
/// The nodes of each zone that act as relays.
const RELAYS: usize = 2;

fn zone(node: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", node / OF_ZONE)).expect("a name")
}

fn life(node: usize) -> Incarnation {
    Incarnation(node as u64 + 1)
}

fn team() -> TeamName {
    TeamName::new("a").expect("a name")
}

fn of_window(told: Vec<(Window, TeamCounts)>) -> TeamCounts {
    told.into_iter()
        .find(|(window, _)| *window == WINDOW)
        .map_or_else(TeamCounts::new, |told| told.1)
}

struct Fleet {
    nodes: Vec<UsageCounts>,
    begun: u64,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet { nodes: vec![UsageCounts::default(); NODES], begun: 0 }
    }

    fn begin(&mut self, node: usize) {
        self.nodes[node].count(WINDOW, life(node), &zone(node), &team());
        self.begun += 1;
    }

    /// A node tells a relay of its zone, and the relay tells it of all others.
    fn tell_relay(&mut self, node: usize, relay: usize) {
        let own = of_window(self.nodes[node].of(life(node), WindowSelection::Newest));
        self.nodes[relay].merge(WINDOW, UsageScope::Incarnation(life(node), &zone(node)), &own);
        let others = of_window(self.nodes[relay].of_others(life(node), WindowSelection::Newest));
        self.nodes[node].merge(WINDOW, UsageScope::Others, &others);
    }

    fn tell_zone(&mut self, from: usize, to: usize) {
        let sum = of_window(self.nodes[from].of_zone(&zone(from), WindowSelection::Newest));
        self.nodes[to].merge(WINDOW, UsageScope::Zone(&zone(from)), &sum);
    }

    fn known(&self, node: usize) -> u64 {
        self.nodes[node].total(WINDOW, life(node)).values().sum()
    }

    fn step(&mut self, random: &mut dyn Rng) {
        let node = random.random_range(0..NODES);
        let first = node / OF_ZONE * OF_ZONE;
        let relay = first + random.random_range(0..RELAYS);
        match random.random_range(0..3) {
            0 => self.begin(node),
            1 if relay != node => self.tell_relay(node, relay),
            2 => self.tell_zone(relay, random.random_range(0..ZONES) * OF_ZONE),
            _ => {}
        }
    }

    fn tell_all(&mut self) {
        for round in 0..3 {
            for node in 0..NODES {
                for relay in (0..RELAYS).map(|at| node / OF_ZONE * OF_ZONE + at) {
                    if relay != node {
                        self.tell_relay(node, relay);
                    }
                }
            }
            for from in (0..NODES).filter(|at| at % OF_ZONE < RELAYS && round == 0) {
                for to in (0..NODES).filter(|at| at % OF_ZONE < RELAYS) {
                    if from / OF_ZONE != to / OF_ZONE {
                        self.tell_zone(from, to);
                    }
                }
            }
        }
    }
}

// Guards against a report that counts a request twice since two relays tell of it, or leaves one out.
#[test]
fn counted_once() {
    for seed in 0..500 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        for _ in 0..200 {
            fleet.step(&mut random);
            let node = random.random_range(0..NODES);
            assert!(fleet.known(node) <= fleet.begun, "seed {seed}");
        }
        fleet.tell_all();
        for node in 0..NODES {
            assert_eq!(fleet.known(node), fleet.begun, "seed {seed}, node {node}");
        }
    }
}
