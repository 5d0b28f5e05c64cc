//! The actor that runs the membership protocol and sends its messages.

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

/// The pause between two checks of whether a gossip round is due.
const TICK_PAUSE: Duration = Duration::from_millis(20);
/// The initial pause between two join messages to a seed address.
const JOIN_PAUSE: Duration = Duration::from_millis(250);
/// The maximum pause between two join messages to a seed address that doesn't answer.
const JOIN_PAUSE_MAX: Duration = Duration::from_secs(10);
/// The time after which the member list is published again if no received message has caused it.
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);

/// A `MembershipActor` is the actor with the membership state machine of one node.
pub struct MembershipActor {
    cx: Arc<Context>,
    machine: Membership<Member>,
    random: Pcg64Mcg,
    headroom: Headroom,
    load_updated: Stamp,
    published: Stamp,
    join_attempts: BTreeMap<SocketAddr, JoinAttempt>,
}

struct JoinAttempt {
    due: Stamp,
    pause: Duration,
}

/// A `Received` is a gossip message of another incarnation, or a reply to one of ours.
pub struct Received {
    /// The incarnation that sent it.
    pub from: Incarnation,
    /// Its gossip.
    pub gossip: Gossip<Member>,
}

/// A `Tick` is the message that runs the timers of membership.
pub struct Tick;

impl MembershipActor {
    /// Returns an actor that knows only this node.
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
        let mut join_attempts = BTreeMap::new();
        for seed in &cx.settings.node.seeds {
            if *seed != cx.settings.node.peers {
                join_attempts.insert(*seed, JoinAttempt { due: now, pause: JOIN_PAUSE });
            }
        }
        let headroom = Headroom::default();
        MembershipActor {
            cx,
            machine,
            random,
            headroom,
            load_updated: now,
            published: now,
            join_attempts,
        }
    }

    fn tick(&mut self, address: &WeakAddress<MembershipActor>) {
        let now = self.cx.clock.now();
        let mut sends = Vec::new();
        if self.cx.is_leaving() {
            sends.extend(self.machine.leave(&mut self.random));
        }
        self.update_capacity(now);
        sends.extend(self.machine.tick(now, &mut self.random));
        for send in sends {
            self.send(send, address);
        }
        self.send_joins(now, address);
        if PUBLISH_PAUSE <= now.since(self.published) {
            self.publish(now);
        }
    }

    fn update_capacity(&mut self, now: Stamp) {
        if now.since(self.load_updated) < Duration::from_secs(1) {
            return;
        }
        self.load_updated = now;
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

    // Replies arrive through the mailbox, so the actor never waits for another node.
    fn send(&self, send: Outgoing<Member>, address: &WeakAddress<MembershipActor>) {
        let Some(record) = self.machine.record(send.to) else { return };
        self.deliver(record.value.peers, Some(send.to), send.gossip, address);
    }

    fn deliver(
        &self,
        to: SocketAddr,
        target: Option<Incarnation>,
        gossip: Gossip<Member>,
        address: &WeakAddress<MembershipActor>,
    ) {
        let (cx, address) = (Arc::clone(&self.cx), address.clone());
        tokio::spawn(async move {
            let msg = GossipMessage { gossip };
            let Ok((from, replies)) = cx.peers.ask(&cx, to, target, msg).await else { return };
            for gossip in replies {
                let _ = address.send(Received { from: from.incarnation, gossip }).await;
            }
        });
    }

    // Sends join messages to seed addresses that are not members: at the start, and again later, since
    // the other nodes may have removed a node that was partitioned for long.
    fn send_joins(&mut self, now: Stamp, address: &WeakAddress<MembershipActor>) {
        let members = self.machine.members();
        let known: BTreeSet<SocketAddr> = members.map(|view| view.record.value.peers).collect();
        let mut due = Vec::new();
        for (seed, attempt) in &mut self.join_attempts {
            if known.contains(seed) {
                attempt.pause = JOIN_PAUSE;
                continue;
            }
            if now < attempt.due {
                continue;
            }
            attempt.due = now + attempt.pause;
            attempt.pause = (attempt.pause * 2).min(JOIN_PAUSE_MAX);
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
            let left = record.condition != Condition::Alive;
            member.leaving = left || leaving_vms.contains(&member.vm);
            member.suspected = view.suspected;
            members.push(member);
        }
        self.cx.members.replace(members);
    }
}

/// Registers the handler of gossip messages.
pub fn register(port: &mut PeerPort, address: Address<MembershipActor>) {
    port.register(move |_cx, from, msg: GossipMessage| {
        let address = address.clone();
        async move {
            let received = Received { from: from.incarnation, gossip: msg.gossip };
            address.send(received).await.unwrap_or_default()
        }
    });
}

/// Sends the actor its ticks.
pub async fn run_timer(address: Address<MembershipActor>) {
    loop {
        tokio::time::sleep(TICK_PAUSE).await;
        if address.send(Tick).await.is_err() {
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

impl Handler<Tick> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, cx: &mut xtra::Context<Self>) {
        let address = cx.mailbox().address();
        self.tick(&address);
    }
}

impl Handler<Received> for MembershipActor {
    type Return = Vec<Gossip<Member>>;

    async fn handle(&mut self, received: Received, cx: &mut xtra::Context<Self>) -> Self::Return {
        let now = self.cx.clock.now();
        let address = cx.mailbox().address();
        let sends = self.machine.receive(now, received.from, received.gossip, &mut self.random);
        let mut replies = Vec::new();
        for send in sends {
            if send.to == received.from {
                replies.push(send.gossip);
                continue;
            }
            self.send(send, &address);
        }
        self.publish(now);
        replies
    }
}
