//! A request survives if its holder leaves and its owner dies.

use std::time::Duration;

use bulrushhall_coord::{Action, Message, Ownership, OwnershipOptions, Peer};
use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};

const OWNER: usize = 0;
const STEP: Duration = Duration::from_millis(50);

/// A `Cluster` simulates an owner, its holder and a third node.
struct Cluster {
    now: Stamp,
    machines: Vec<Ownership>,
    alive: [bool; 3],
    leaving: [bool; 3],
    started: Vec<usize>,
}

fn incarnation(at: usize) -> Incarnation {
    Incarnation(10 + at as u64)
}

fn id() -> RequestId {
    RequestId { origin: incarnation(OWNER), sequence: 1 }
}

fn zone(at: usize) -> ZoneName {
    ZoneName::new(format!("zone-{at}")).expect("a name")
}

impl Cluster {
    fn start() -> Cluster {
        let options = OwnershipOptions::default;
        let machines = (0..3).map(|at| Ownership::new(incarnation(at), zone(at), options()));
        let machines = machines.collect();
        let (alive, leaving) = ([true; 3], [false; 3]);
        let mut cluster = Cluster { now: Stamp(0), machines, alive, leaving, started: Vec::new() };
        cluster.update_members();
        let accepted = cluster.machines[OWNER].accept(cluster.now, id(), "body".into());
        cluster.carry_out(OWNER, accepted);
        cluster
    }

    fn holder(&self) -> usize {
        let held = |at: &usize| self.alive[*at] && self.machines[*at].held_body(id()).is_some();
        (0..3).find(held).expect("a holder")
    }

    fn leave(&mut self, at: usize) {
        self.leaving[at] = true;
        self.machines[at].leave(self.now);
    }

    fn kill(&mut self, at: usize) {
        self.alive[at] = false;
    }

    fn update_members(&mut self) {
        for at in 0..3 {
            let others = (0..3).filter(|other| *other != at && self.alive[*other]);
            let peers = others.map(|other| Peer {
                incarnation: incarnation(other),
                zone: zone(other),
                leaving: self.leaving[other],
            });
            let actions = self.machines[at].set_members(self.now, peers.collect());
            self.carry_out(at, actions);
        }
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            for at in 0..3 {
                let mut actions = self.machines[at].tick(self.now);
                actions.extend(self.machines[at].sweep(self.now));
                self.carry_out(at, actions);
            }
        }
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        if !self.alive[at] {
            return;
        }
        for action in actions {
            match action {
                Action::Send(to, message) => self.deliver(at, to, message),
                Action::Start { .. } => self.started.push(at),
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: Incarnation, message: Message) {
        let Some(to) = (0..3).find(|at| incarnation(*at) == to) else { return };
        if !self.alive[to] {
            let actions = self.machines[from].undelivered(self.now, incarnation(to), id());
            self.carry_out(from, actions);
            return;
        }
        let actions = self.machines[to].receive(self.now, incarnation(from), message);
        self.carry_out(to, actions);
    }
}

// The holder's VM is being reclaimed. The owner dies before it learns of that, and the holder ends
// with its notice. Without a copy at the third node the caller would get no response.
#[test]
fn owner_dies() {
    let mut cluster = Cluster::start();
    let holder = cluster.holder();
    let third = 3 - OWNER - holder;
    cluster.leave(holder);
    cluster.kill(OWNER);
    cluster.advance(Duration::from_secs(1));
    cluster.kill(holder);
    cluster.update_members();
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.started, [third]);
    assert!(cluster.machines[third].version(id()).is_some());
}

// The owner learns that its holder is leaving and copies the request to another peer at once. The
// copy that the old holder passes on must not interfere.
#[test]
fn owner_replaces_leaving_holder() {
    let mut cluster = Cluster::start();
    let holder = cluster.holder();
    let third = 3 - OWNER - holder;
    cluster.leave(holder);
    cluster.update_members();
    cluster.advance(Duration::from_secs(1));
    assert!(cluster.machines[third].held_body(id()).is_some());
    cluster.kill(holder);
    cluster.update_members();
    cluster.advance(Duration::from_secs(1));
    assert!(cluster.started.is_empty());
    cluster.kill(OWNER);
    cluster.update_members();
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.started, [third]);
}

// A leaving holder has passed its copy on, and then both peers consider the owner dead. If both
// took the request over, it would run twice.
#[test]
fn one_takeover() {
    let mut cluster = Cluster::start();
    let holder = cluster.holder();
    cluster.leave(holder);
    cluster.advance(Duration::from_secs(1));
    cluster.kill(OWNER);
    cluster.update_members();
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.started.len(), 1, "started at {:?}", cluster.started);
}

// The holder dies, and the owner's VM is reclaimed before the membership shows that. The owner
// offers the request to the dead holder first, and has to offer it to the third node within the
// notice.
#[test]
fn holder_dies() {
    let mut cluster = Cluster::start();
    let holder = cluster.holder();
    let third = 3 - OWNER - holder;
    cluster.kill(holder);
    cluster.leave(OWNER);
    let actions = cluster.machines[OWNER].hand_over(cluster.now, id());
    cluster.carry_out(OWNER, actions);
    cluster.advance(Duration::from_millis(800));
    assert_eq!(cluster.started, [third]);
}
