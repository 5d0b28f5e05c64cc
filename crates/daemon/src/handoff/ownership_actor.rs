//! The actor that runs the ownership state machine and carries out its actions.

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

/// An `OwnershipActor` tracks the requests that this node owns and the copies that it holds.
pub struct OwnershipActor {
    cx: Arc<Context>,
    machine: Ownership,
    waiting_for_copy: HashMap<RequestId, oneshot::Sender<CopyLocation>>,
    addresses: HashMap<Incarnation, SocketAddr>,
}

/// An `Accept` makes this node the owner of a new request and has it copied to a peer.
pub struct Accept {
    /// The request.
    pub id: RequestId,
    /// The encoded request.
    pub body: Bytes,
    /// Receives the location of the copy once there is one, or that there is none.
    pub copied: oneshot::Sender<CopyLocation>,
}

/// A `TokenGenerated` reports a new token of an owned request.
pub struct TokenGenerated {
    /// The request.
    pub id: RequestId,
    /// The version under which the request is run.
    pub version: Version,
    /// The token.
    pub token: String,
    /// The software version of the engine that produced the first token of the answer.
    pub origin: String,
}

/// An `Ended` reports how the answer to an owned request ended.
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// How it ended.
    pub end: AnswerEnd,
}

/// A `Receive` delivers the messages of another node and returns the replies to it.
pub struct Receive {
    /// The node.
    pub from: Incarnation,
    /// The messages.
    pub messages: Vec<Message>,
}

/// An `Undelivered` reports that messages to a node could not be delivered.
pub struct Undelivered {
    /// The node.
    pub to: Incarnation,
    /// The requests that the messages were about.
    pub ids: Vec<RequestId>,
}

/// A `SetMembers` sets the nodes that are considered alive.
pub struct SetMembers(pub Arc<Vec<Member>>);

/// A `HandOver` offers requests to other nodes.
pub struct HandOver(pub Vec<RequestId>);

/// A `GetRequestRole` asks for the role of this node for a team's request.
pub struct GetRequestRole {
    /// The team that asks.
    pub team: TeamName,
    /// The request.
    pub id: RequestId,
}

/// A `RequestRole` is the role of a node for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestRole {
    /// The node owns the request.
    Owner,
    /// The node holds a copy.
    Holder,
    /// The request was handed over to another node incarnation.
    MovedTo(Incarnation),
    /// The node does not know the request.
    Unknown,
}

/// A `Tick` sends the messages that are due.
pub struct Tick;

/// A `Sweep` checks all requests for takeovers, retransmissions and timeouts.
pub struct Sweep;

impl OwnershipActor {
    /// Returns the ownership actor of a node.
    pub fn new(cx: Arc<Context>) -> OwnershipActor {
        let zone = cx.settings.node.zone.clone();
        let machine = Ownership::new(cx.incarnation, zone, OwnershipOptions::default());
        OwnershipActor { cx, machine, waiting_for_copy: HashMap::new(), addresses: HashMap::new() }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut messages: BTreeMap<Incarnation, Vec<Message>> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Send(to, message) => messages.entry(to).or_default().push(message),
                Action::Accepted(id, copied) => {
                    let Some(tx) = self.waiting_for_copy.remove(&id) else { continue };
                    let _ = tx.send(copied);
                }
                Action::Start { id, version, body, tokens, origin } => {
                    self.start_run(id, version, &body, (tokens, origin));
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

    fn start_run(
        &self,
        id: RequestId,
        version: Version,
        body: &[u8],
        (tokens, origin): (Vec<String>, Option<String>),
    ) {
        // A body that cannot be decoded was encoded by another version of the daemon.
        let Ok(portable) = Portable::decode(body) else {
            tracing::error!(event = Event::HandoffFailed.number(), request = %id);
            return;
        };
        let cause = if self.cx.members.find(id.origin).is_some() {
            Cause::Handover
        } else {
            Cause::Takeover
        };
        tracing::info!(event = Event::RequestTaken.number(), request = %id, cause = cause.as_str());
        let answer = portable.answer(id);
        answer.set_may_have_run();
        self.cx.answers.insert(Arc::clone(&answer));
        let run = relay::Run { portable, answer, version, emitted: tokens, origin, cause };
        tokio::spawn(relay::run_traced(Arc::clone(&self.cx), run, None));
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
        self.waiting_for_copy.insert(accept.id, accept.copied);
        let actions = self.machine.accept(self.cx.clock.now(), accept.id, accept.body);
        self.carry_out(actions);
    }
}

impl Handler<TokenGenerated> for OwnershipActor {
    type Return = bool;

    async fn handle(&mut self, generated: TokenGenerated, _cx: &mut xtra::Context<Self>) -> bool {
        let TokenGenerated { id, version, token, origin } = generated;
        self.machine.note_origin(id, version, &origin);
        self.machine.token(id, version, token)
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
            // Addresses are never removed, since replies and handovers to a node that is no longer
            // a member may still have to be sent.
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

impl Handler<GetRequestRole> for OwnershipActor {
    type Return = RequestRole;

    async fn handle(&mut self, get: GetRequestRole, _cx: &mut xtra::Context<Self>) -> RequestRole {
        if self.machine.version(get.id).is_some() {
            return RequestRole::Owner;
        }
        // Another team must not find out that the request exists, not even from the duration of a
        // search for its owner.
        if let Some(body) = self.machine.held_body(get.id) {
            let is_visible = Portable::decode(body).is_ok_and(|it| it.team == get.team);
            return if is_visible { RequestRole::Holder } else { RequestRole::Unknown };
        }
        self.machine.moved_to(get.id).map_or(RequestRole::Unknown, RequestRole::MovedTo)
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
