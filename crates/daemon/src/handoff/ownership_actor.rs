//! The actor that feeds the ownership machine and carries out what it decides.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use bulrushhall_coord::{
    Action, CopyLocation, Message, Ownership, OwnershipOptions, Peer, Version,
};
use bulrushhall_core::{Event, Incarnation, RequestId, TeamName};
use bytes::Bytes;
use tokio::sync::oneshot;
use xtra::{Actor, Handler, Mailbox};

use crate::{
    answers::AnswerEnd,
    callers::relay,
    context::Context,
    handoff::{
        Batch, Cause, Portable, follow,
        portable::{decode_end, encode_end},
    },
    members::Member,
};

/// An `OwnershipActor` knows which requests this node owns and which copies it holds.
pub struct OwnershipActor {
    cx: Arc<Context>,
    machine: Ownership,
    waiting: HashMap<RequestId, oneshot::Sender<CopyLocation>>,
    addresses: HashMap<Incarnation, SocketAddr>,
}

/// An `Accept` asks for a new request to be owned and copied.
pub struct Accept {
    /// The request.
    pub id: RequestId,
    /// What it asks for, encoded.
    pub body: Bytes,
    /// Gets where the copy is once it is there.
    pub copied: oneshot::Sender<CopyLocation>,
}

/// `Produced` are new tokens of an owned request.
pub struct Produced {
    /// The request.
    pub id: RequestId,
    /// The version under which it is run.
    pub version: Version,
    /// The token.
    pub token: String,
}

/// An `Ended` tells how the answer to an owned request ended.
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// How it ended.
    pub end: AnswerEnd,
}

/// A `Receive` brings the messages of another node; what is returned goes back to it.
pub struct Receive {
    /// The node.
    pub from: Incarnation,
    /// The messages.
    pub messages: Vec<Message>,
}

/// An `Undelivered` tells that messages to a node could not be delivered.
pub struct Undelivered {
    /// The node.
    pub to: Incarnation,
    /// The requests that they were about.
    pub ids: Vec<RequestId>,
}

/// A `SetMembers` tells which nodes are believed to be alive.
pub struct SetMembers(pub Arc<Vec<Member>>);

/// A `HandOver` asks for requests to be offered to other nodes.
pub struct HandOver(pub Vec<RequestId>);

/// A `StandingOf` asks what this node is to a team's request.
pub struct StandingOf {
    /// The team that asks.
    pub team: TeamName,
    /// The request.
    pub id: RequestId,
}

/// A `Standing` tells what a node is to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It owns it.
    Owner,
    /// It holds a copy.
    Holder,
    /// It went to another life of a node.
    WentTo(Incarnation),
    /// Nothing is known of it.
    Unknown,
}

/// A `Tick` sends what is due.
pub struct Tick;

/// A `Sweep` looks for takeovers, repeats and time-outs.
pub struct Sweep;

impl OwnershipActor {
    /// Returns the ownership actor of a node.
    pub fn new(cx: Arc<Context>) -> OwnershipActor {
        let zone = cx.settings.node.zone.clone();
        let machine = Ownership::new(cx.incarnation, zone, OwnershipOptions::default());
        OwnershipActor { cx, machine, waiting: HashMap::new(), addresses: HashMap::new() }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut messages: BTreeMap<Incarnation, Vec<Message>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send(to, message) => messages.entry(to).or_default().push(message),
                Action::Accepted(id, copied) => {
                    let Some(tx) = self.waiting.remove(&id) else { continue };
                    let _ = tx.send(copied);
                }
                Action::Start { id, version, body, tokens } => {
                    self.start(id, version, &body, tokens);
                }
                Action::Stop(id) => {
                    let Some(answer) = self.cx.answers.get(id) else { continue };
                    answer.halt();
                }
                Action::Moved(id, to) => {
                    tracing::info!(event = Event::RequestMoved.number(), request = %id, %to);
                    let Some(answer) = self.cx.answers.get(id) else { continue };
                    tokio::spawn(follow(Arc::clone(&self.cx), Arc::downgrade(&answer)));
                }
                Action::Release(id, first, tokens) => {
                    let Some(answer) = self.cx.answers.get(id) else { continue };
                    answer.push(first, tokens);
                }
                Action::End(id, end) => {
                    let Some(answer) = self.cx.answers.get(id) else { continue };
                    let Some(end) = decode_end(&end) else { continue };
                    answer.end(end);
                    answer.halt();
                    self.cx.answers.finished(self.cx.clock.now(), id);
                }
                Action::Keep { id, body, tokens, end } => self.keep(id, &body, tokens, &end),
            }
        }
        for (to, messages) in messages {
            self.send(to, messages);
        }
    }

    fn send(&self, to: Incarnation, messages: Vec<Message>) {
        let cx = Arc::clone(&self.cx);
        let address = self.addresses.get(&to).copied();
        tokio::spawn(async move {
            let ids = messages.iter().map(Message::id).collect();
            let sent = match address {
                Some(address) => {
                    cx.peers.send(&cx, address, Some(to), Batch { messages }).await.ok()
                }
                None => None,
            };
            let _ = match sent {
                Some(Batch { messages }) if messages.is_empty() => return,
                Some(Batch { messages }) => {
                    let replies = cx.ownership.send(Receive { from: to, messages }).await;
                    replies.map(drop)
                }
                None => cx.ownership.send(Undelivered { to, ids }).await,
            };
        });
    }

    fn start(&self, id: RequestId, version: Version, body: &[u8], tokens: Vec<String>) {
        // A body that this node cannot read was written by another version of the daemon.
        let Ok(portable) = Portable::decode(body) else {
            tracing::error!(event = Event::HandoffFailed.number(), request = %id);
            return;
        };
        let cause = if self.cx.members.find(id.origin).is_some() {
            Cause::Handover
        } else {
            Cause::Takeover
        };
        tracing::info!(event = Event::RequestTaken.number(), request = %id, cause = cause.word());
        let answer = portable.answer(id);
        answer.set_may_have_run();
        self.cx.answers.insert(Arc::clone(&answer));
        let run = relay::Run { portable, answer, version, emitted: tokens, cause };
        tokio::spawn(relay::traced(Arc::clone(&self.cx), run, None));
    }

    fn keep(&self, id: RequestId, body: &[u8], tokens: Vec<String>, end: &[u8]) {
        let Ok(portable) = Portable::decode(body) else { return };
        let Some(end) = decode_end(end) else { return };
        let answer = portable.answer(id);
        answer.push(0, tokens);
        answer.end(end);
        self.cx.answers.insert(answer);
        self.cx.answers.finished(self.cx.clock.now(), id);
    }
}

impl Actor for OwnershipActor {
    type Stop = ();

    async fn started(&mut self, _mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Accept> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, accept: Accept, _cx: &mut xtra::Context<Self>) {
        self.waiting.insert(accept.id, accept.copied);
        let actions = self.machine.accept(self.cx.clock.now(), accept.id, accept.body);
        self.carry_out(actions);
    }
}

impl Handler<Produced> for OwnershipActor {
    type Return = bool;

    async fn handle(&mut self, produced: Produced, _cx: &mut xtra::Context<Self>) -> bool {
        self.machine.token(produced.id, produced.version, produced.token)
    }
}

impl Handler<Ended> for OwnershipActor {
    type Return = bool;

    async fn handle(&mut self, ended: Ended, _cx: &mut xtra::Context<Self>) -> bool {
        let Some(version) = self.machine.version(ended.id) else { return false };
        self.machine.finish(ended.id, version, encode_end(&ended.end))
    }
}

impl Handler<Receive> for OwnershipActor {
    type Return = Vec<Message>;

    async fn handle(&mut self, receive: Receive, _cx: &mut xtra::Context<Self>) -> Vec<Message> {
        let now = self.cx.clock.now();
        let mut actions = Vec::new();
        for message in receive.messages {
            actions.extend(self.machine.receive(now, receive.from, message));
        }
        let mut replies = Vec::new();
        let mut others = Vec::new();
        for action in actions {
            match action {
                Action::Send(to, message) if to == receive.from => replies.push(message),
                other => others.push(other),
            }
        }
        self.carry_out(others);
        replies
    }
}

impl Handler<Undelivered> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, lost: Undelivered, _cx: &mut xtra::Context<Self>) {
        for id in lost.ids {
            let actions = self.machine.undelivered(self.cx.clock.now(), lost.to, id);
            self.carry_out(actions);
        }
    }
}

impl Handler<SetMembers> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, set: SetMembers, _cx: &mut xtra::Context<Self>) {
        let mut peers = Vec::new();
        for member in set.0.iter() {
            // Replies and handovers may still be due to a node that is no member any more.
            self.addresses.insert(member.incarnation, member.peers);
            peers.push(Peer {
                incarnation: member.incarnation,
                zone: member.zone.clone(),
                leaving: member.leaving,
            });
        }
        let actions = self.machine.set_members(self.cx.clock.now(), peers);
        self.carry_out(actions);
    }
}

impl Handler<HandOver> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, hand_over: HandOver, _cx: &mut xtra::Context<Self>) {
        for id in hand_over.0 {
            let actions = self.machine.hand_over(self.cx.clock.now(), id);
            self.carry_out(actions);
        }
    }
}

impl Handler<StandingOf> for OwnershipActor {
    type Return = Standing;

    async fn handle(&mut self, of: StandingOf, _cx: &mut xtra::Context<Self>) -> Standing {
        if self.machine.version(of.id).is_some() {
            return Standing::Owner;
        }
        // Another team must not learn that the request exists, not even from the time that a
        // search for its owner takes.
        if let Some(body) = self.machine.held_body(of.id) {
            let held = Portable::decode(body).is_ok_and(|it| it.team == of.team);
            return if held { Standing::Holder } else { Standing::Unknown };
        }
        self.machine.moved_to(of.id).map_or(Standing::Unknown, Standing::WentTo)
    }
}

impl Handler<Tick> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _cx: &mut xtra::Context<Self>) {
        let actions = self.machine.tick(self.cx.clock.now());
        self.carry_out(actions);
    }
}

impl Handler<Sweep> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, _sweep: Sweep, _cx: &mut xtra::Context<Self>) {
        if self.cx.is_leaving() {
            self.machine.leave(self.cx.clock.now());
        }
        let actions = self.machine.sweep(self.cx.clock.now());
        self.carry_out(actions);
    }
}
