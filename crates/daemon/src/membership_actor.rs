//! The actor that feeds membership and carries out what it decides.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{
    Condition, Gossip, Headroom, Membership, MembershipOptions, Outgoing, Record,
};
use bulrushhall_core::{Incarnation, Stamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xtra::{Actor, Address, Handler, Mailbox, WeakAddress};

use crate::{
    context::Context,
    members::Member,
    peers::{GossipMessage, PeerPort},
};

/// The pause between two looks at whether a round is due.
const TICK: Duration = Duration::from_millis(20);
/// The pause between two greetings of an address that the node was started with.
const GREET_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between two greetings of an address that doesn't answer.
const GREET_PAUSE_MAX: Duration = Duration::from_secs(10);

/// The longest time after which the view of members is made anew.
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);

/// A `MembershipActor` holds the machine of one node.
pub struct MembershipActor {
    cx: Arc<Context>,
    machine: Membership<Member>,
    random: Pcg64Mcg,
    headroom: Headroom,
    weighed: Stamp,
    published: Stamp,
    greetings: BTreeMap<SocketAddr, Greeting>,
}

struct Greeting {
    due: Stamp,
    pause: Duration,
}

/// A `Heard` is a message of another life, or a reply to one of ours.
pub struct Heard {
    /// The life that sent it.
    pub from: Incarnation,
    /// What it tells.
    pub gossip: Gossip<Member>,
}

/// A `Pass` lets time pass.
pub struct Pass;

impl MembershipActor {
    /// Returns an actor that knows of this node alone.
    pub fn new(cx: Arc<Context>) -> MembershipActor {
        let now = cx.clock.now();
        let own = cx.own_member();
        let record = Record {
            node: own.node.clone(),
            zone: own.zone.clone(),
            incarnation: own.incarnation,
            sequence: 0,
            condition: Condition::Alive,
            value: own,
        };
        let machine = Membership::new(now, record, MembershipOptions::default());
        let random = Pcg64Mcg::seed_from_u64(cx.incarnation.0);
        let mut greetings = BTreeMap::new();
        for seed in &cx.settings.node.seeds {
            if *seed != cx.settings.node.peers {
                greetings.insert(*seed, Greeting { due: now, pause: GREET_PAUSE });
            }
        }
        let headroom = Headroom::default();
        MembershipActor { cx, machine, random, headroom, weighed: now, published: now, greetings }
    }

    fn pass(&mut self, address: &WeakAddress<MembershipActor>) {
        let now = self.cx.clock.now();
        let mut sends = Vec::new();
        if self.cx.is_leaving() {
            sends.extend(self.machine.leave(&mut self.random));
        }
        self.weigh(now);
        sends.extend(self.machine.tick(now, &mut self.random));
        for send in sends {
            self.send(send, address);
        }
        self.greet(now, address);
        if PUBLISH_PAUSE <= now.since(self.published) {
            self.publish(now);
        }
    }

    fn weigh(&mut self, now: Stamp) {
        if now.since(self.weighed) < Duration::from_secs(1) {
            return;
        }
        self.weighed = now;
        let deployment = &self.cx.in_force().deployment;
        let engines = deployment.services.values().map(|service| service.backends.len());
        let per_engine = self.cx.settings.limits.answers_per_engine;
        let nodes = self.machine.members().count() + 1;
        let share = engines.sum::<usize>().max(1) * per_engine / nodes;
        let load = self.cx.answers.unfinished() as f64 / share.max(1) as f64;
        let capacity = self.headroom.weigh(load);
        let own = Member { capacity, leaving: false, ..self.cx.own_member() };
        self.machine.set_value(own);
    }

    // Replies come back to the mailbox, so the actor never waits for another node.
    fn send(&self, send: Outgoing<Member>, address: &WeakAddress<MembershipActor>) {
        let Some(record) = self.machine.record(send.to) else { return };
        self.deliver(record.value.peers, Some(send.to), send.gossip, address);
    }

    fn deliver(
        &self,
        to: SocketAddr,
        life: Option<Incarnation>,
        gossip: Gossip<Member>,
        address: &WeakAddress<MembershipActor>,
    ) {
        let (cx, address) = (Arc::clone(&self.cx), address.clone());
        tokio::spawn(async move {
            let spread = GossipMessage { gossip };
            let Ok((from, replies)) = cx.peers.ask(&cx, to, life, spread).await else { return };
            for gossip in replies {
                let _ = address.send(Heard { from: from.incarnation, gossip }).await;
            }
        });
    }

    // Addresses from the settings that are no member's: at the start, and again later, since a
    // node that was cut off for long may have been forgotten by everyone.
    fn greet(&mut self, now: Stamp, address: &WeakAddress<MembershipActor>) {
        let members = self.machine.members();
        let known: BTreeSet<SocketAddr> = members.map(|view| view.record.value.peers).collect();
        let mut due = Vec::new();
        for (seed, greeting) in &mut self.greetings {
            if known.contains(seed) {
                greeting.pause = GREET_PAUSE;
                continue;
            }
            if now < greeting.due {
                continue;
            }
            greeting.due = now + greeting.pause;
            greeting.pause = (greeting.pause * 2).min(GREET_PAUSE_MAX);
            due.push(*seed);
        }
        for seed in due {
            self.deliver(seed, None, self.machine.join_message(), address);
        }
    }

    fn publish(&mut self, now: Stamp) {
        self.published = now;
        let leaving_vms = self.cx.leaving_vms.load();
        let mut members = Vec::new();
        for view in self.machine.members() {
            let record = view.record;
            let mut member = record.value.clone();
            let told = record.condition != Condition::Alive;
            member.leaving = told || leaving_vms.contains(&member.vm);
            member.suspected = view.suspected;
            members.push(member);
        }
        self.cx.members.replace(members);
    }
}

/// Registers what is done with messages about members.
pub fn register(port: &mut PeerPort, address: Address<MembershipActor>) {
    port.register(move |_cx, from, spread: GossipMessage| {
        let address = address.clone();
        async move {
            let heard = Heard { from: from.incarnation, gossip: spread.gossip };
            address.send(heard).await.unwrap_or_default()
        }
    });
}

/// Lets time pass for the actor.
pub async fn pass(address: Address<MembershipActor>) {
    loop {
        tokio::time::sleep(TICK).await;
        if address.send(Pass).await.is_err() {
            return;
        }
    }
}

impl Actor for MembershipActor {
    type Stop = ();

    async fn started(&mut self, _mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Pass> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _pass: Pass, cx: &mut xtra::Context<Self>) {
        let address = cx.mailbox().address();
        self.pass(&address);
    }
}

impl Handler<Heard> for MembershipActor {
    type Return = Vec<Gossip<Member>>;

    async fn handle(&mut self, heard: Heard, cx: &mut xtra::Context<Self>) -> Self::Return {
        let now = self.cx.clock.now();
        let address = cx.mailbox().address();
        let sends = self.machine.receive(now, heard.from, heard.gossip, &mut self.random);
        let mut replies = Vec::new();
        for send in sends {
            if send.to == heard.from {
                replies.push(send.gossip);
                continue;
            }
            self.send(send, &address);
        }
        self.publish(now);
        replies
    }
}
