//! A copy outlives the node that holds it when that node leaves and the owner dies.

use std::time::Duration;

use bulrushhall_coord::{Action, Message, Ownership, OwnershipOptions, Peer};
use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};

const OWNER: usize = 0;
const STEP: Duration = Duration::from_millis(50);

struct Trio {
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

impl Trio {
    fn start() -> Trio {
        let options = OwnershipOptions::default;
        let machines = (0..3).map(|at| Ownership::new(incarnation(at), zone(at), options()));
        let machines = machines.collect();
        let (alive, leaving) = ([true; 3], [false; 3]);
        let mut trio = Trio { now: Stamp(0), machines, alive, leaving, started: Vec::new() };
        trio.tell_members();
        let accepted = trio.machines[OWNER].accept(trio.now, id(), "body".into());
        trio.carry_out(OWNER, accepted);
        trio
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

    fn tell_members(&mut self) {
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

    fn pass(&mut self, time: Duration) {
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

// The holder's VM is being taken back. Before the owner has heard of it, the owner dies without
// notice, and the holder goes at the end of its notice. The caller of the accepted request would
// get no answer from anyone.
#[test]
fn owner_dies() {
    let mut trio = Trio::start();
    let holder = trio.holder();
    let third = 3 - OWNER - holder;
    trio.leave(holder);
    trio.kill(OWNER);
    trio.pass(Duration::from_secs(1));
    trio.kill(holder);
    trio.tell_members();
    trio.pass(Duration::from_secs(2));
    assert_eq!(trio.started, [third]);
    assert!(trio.machines[third].version(id()).is_some());
}

// The owner hears that its holder is leaving. It copies the request to another peer at once, and
// is not disturbed by what the old holder has passed on itself.
#[test]
fn owner_copies_anew() {
    let mut trio = Trio::start();
    let holder = trio.holder();
    let third = 3 - OWNER - holder;
    trio.leave(holder);
    trio.tell_members();
    trio.pass(Duration::from_secs(1));
    assert!(trio.machines[third].held_body(id()).is_some());
    trio.kill(holder);
    trio.tell_members();
    trio.pass(Duration::from_secs(1));
    assert!(trio.started.is_empty());
    trio.kill(OWNER);
    trio.tell_members();
    trio.pass(Duration::from_secs(2));
    assert_eq!(trio.started, [third]);
}

// A leaving holder has passed its copy on, and then the owner is seen to be dead by both. Were
// both to take the request over, it would run twice.
#[test]
fn one_takeover() {
    let mut trio = Trio::start();
    let holder = trio.holder();
    trio.leave(holder);
    trio.pass(Duration::from_secs(1));
    trio.kill(OWNER);
    trio.tell_members();
    trio.pass(Duration::from_secs(3));
    assert_eq!(trio.started.len(), 1, "started at {:?}", trio.started);
}

// The holder dies, and before any member list shows it the owner's own VM is taken back. The
// owner offers the request to a holder that is no more; it has to turn to the third node within
// the seconds of the notice.
#[test]
fn holder_dies() {
    let mut trio = Trio::start();
    let holder = trio.holder();
    let third = 3 - OWNER - holder;
    trio.kill(holder);
    trio.leave(OWNER);
    let actions = trio.machines[OWNER].hand_over(trio.now, id());
    trio.carry_out(OWNER, actions);
    trio.pass(Duration::from_millis(800));
    assert_eq!(trio.started, [third]);
}
