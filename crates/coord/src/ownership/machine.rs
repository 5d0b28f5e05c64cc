//! The ownership state machine of one node: events in, actions out.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;

use super::{
    message::{Message, Version},
    options::OwnershipOptions,
    peers::{Peer, Peers},
    produced::Produced,
    state::{Holder, Owned, Stage, State, Tombstone},
};

/// The consecutive messages that a peer may fail to receive before another one is chosen.
pub(super) const MAX_UNDELIVERED: u8 = 2;

/// An `Action` is what the node that runs an [`Ownership`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an incarnation of a node.
    Send(Incarnation, Message),
    /// Notify the caller that the request is accepted.
    Accepted(RequestId, CopyLocation),
    /// Run the request and continue after the given tokens; this node owns it now.
    Start {
        /// The request.
        id: RequestId,
        /// The version under which it is owned.
        version: Version,
        /// The serialized request that its owner runs.
        body: Bytes,
        /// The tokens produced so far.
        tokens: Vec<String>,
        /// The software version of the engine that produced the first token, if it is known.
        origin: Option<String>,
    },
    /// Stop running the request; it is being offered to another node.
    Stop(RequestId),
    /// The request is now owned by another incarnation; its readers have to go there.
    Moved(RequestId, Incarnation),
    /// Show these tokens to readers; the first has the given index.
    Release(RequestId, usize, Vec<String>),
    /// Show the end of the response to readers; nothing follows.
    End(RequestId, Bytes),
    /// Store a finished response for readers that come to this node.
    Keep {
        /// The request.
        id: RequestId,
        /// The serialized request that its owner ran.
        body: Bytes,
        /// All tokens.
        tokens: Vec<String>,
        /// The end of the response.
        end: Bytes,
    },
}

/// A `CopyLocation` is the place of the copy of an accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyLocation {
    /// This peer holds it.
    At(Incarnation),
    /// No peer holds a copy: the request is lost if this node fails.
    NoCopy,
}

/// An `Ownership` decides for one node which requests it owns and which it holds copies of.
#[derive(Debug)]
pub struct Ownership {
    pub(super) options: OwnershipOptions,
    pub(super) own: Incarnation,
    pub(super) peers: Peers,
    pub(super) requests: BTreeMap<RequestId, State>,
    /// The owned requests that may have something to send.
    pub(super) dirty: BTreeSet<RequestId>,
    /// Since when this node has been leaving.
    pub(super) leaving: Option<Stamp>,
}

impl Ownership {
    /// Returns the state machine of the node `own` in `own_zone`, which knows no peer yet.
    pub fn new(own: Incarnation, own_zone: ZoneName, options: OwnershipOptions) -> Ownership {
        let peers = Peers { own_zone, live: Vec::new() };
        let (requests, dirty) = (BTreeMap::new(), BTreeSet::new());
        Ownership { options, own, peers, requests, dirty, leaving: None }
    }

    /// Takes ownership of a new request; [`Action::Accepted`] follows once it is copied.
    pub fn accept(&mut self, now: Stamp, id: RequestId, body: Bytes) -> Vec<Action> {
        let version = Version { epoch: 1, generation: 0, owner: self.own };
        let mut out = Vec::new();
        self.take_ownership(now, id, version, Produced::new(body), None, &mut out);
        out
    }

    /// Appends a token that was produced under `version`; returns false once that run is over.
    ///
    /// The token is sent with the next [`Ownership::tick`], so that tokens of one tick share a
    /// message.
    pub fn token(&mut self, id: RequestId, version: Version, token: String) -> bool {
        let Some(owned) = self.current_run(id, version) else { return false };
        owned.tokens.push(token);
        self.dirty.insert(id);
        true
    }

    /// Records the software version of the engine that is about to produce the first token under `version`.
    pub fn note_origin(&mut self, id: RequestId, version: Version, origin: &str) {
        let Some(owned) = self.current_run(id, version) else { return };
        if owned.tokens.is_empty() {
            owned.origin = Some(origin.to_owned());
        }
    }

    /// Records the end of the response that was produced under `version`; returns false once that
    /// run is over.
    pub fn finish(&mut self, id: RequestId, version: Version, end: Bytes) -> bool {
        let Some(owned) = self.current_run(id, version) else { return false };
        owned.end = Some(end);
        self.dirty.insert(id);
        true
    }

    /// Replaces the known peers by `members`.
    pub fn set_members(&mut self, now: Stamp, members: Vec<Peer>) -> Vec<Action> {
        self.peers.live = members;
        let mut out = Vec::new();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.apply_members(now, id, &mut out);
        }
        out
    }

    /// Marks this node as leaving: it passes on the copies that it holds.
    pub fn leave(&mut self, now: Stamp) {
        self.leaving.get_or_insert(now);
    }

    /// Offers an owned request to its holder or to another peer, which becomes its owner.
    ///
    /// Without an eligible peer the request stays here and keeps running.
    pub fn hand_over(&mut self, now: Stamp, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        let is_offered =
            matches!(self.requests.get(&id), Some(State::Owned(it)) if it.handover.is_some());
        if !is_offered {
            self.offer(now, id, &mut out);
        }
        out
    }

    /// Records that a message to a peer could not be delivered.
    pub fn undelivered(&mut self, now: Stamp, to: Incarnation, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return out };
        if let Some(handover) = owned.handover.as_mut().filter(|it| it.version.owner == to) {
            handover.undelivered += 1;
            if MAX_UNDELIVERED <= handover.undelivered {
                self.offer(now, id, &mut out);
            }
            return out;
        }
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == to) else {
            return out;
        };
        // A caller waits for the first copy, so one failure is enough there. Later a single failure
        // may be transient, but a second one counts the holder as dead before the membership does:
        // if this node failed as well until then, no node would have the request.
        holder.undelivered += 1;
        let failed = owned.stage == Stage::Copying || MAX_UNDELIVERED <= holder.undelivered;
        if failed && owned.handover.is_none() {
            owned.failed_holders.push(to);
            self.choose_holder(now, id, &mut out);
        }
        out
    }

    /// Sends the tokens and ends that are due.
    pub fn tick(&mut self, now: Stamp) -> Vec<Action> {
        let mut out = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            self.flush(now, id, &mut out);
        }
        out
    }

    /// Handles takeovers, retries and timeouts of every request; to be called some times a second.
    pub fn sweep(&mut self, now: Stamp) -> Vec<Action> {
        let mut out = Vec::new();
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            match self.requests.get(&id) {
                Some(State::Owned(_)) => self.sweep_owned(now, id, &mut out),
                Some(State::Held(_)) => self.sweep_held(now, id, &mut out),
                Some(State::Tombstone(tombstone))
                    if self.options.tombstone_retention <= now.since(tombstone.created_at) =>
                {
                    self.requests.remove(&id);
                }
                Some(State::Tombstone(_)) | None => {}
            }
        }
        out
    }

    /// Returns the requests that this node owns and that have not ended.
    pub fn owned(&self) -> Vec<RequestId> {
        let owned = self.requests.iter().filter(|(_, state)| matches!(state, State::Owned(_)));
        owned.map(|(id, _)| *id).collect()
    }

    /// Returns the body of a request that another node owns and whose copy is held here.
    pub fn held_body(&self, id: RequestId) -> Option<&Bytes> {
        let Some(State::Held(held)) = self.requests.get(&id) else { return None };
        Some(&held.body)
    }

    /// Returns the owner that a request moved to from this node.
    pub fn moved_to(&self, id: RequestId) -> Option<Incarnation> {
        let Some(State::Tombstone(tombstone)) = self.requests.get(&id) else { return None };
        Some(tombstone.version.owner)
    }

    /// Returns the version under which this node owns a request.
    pub fn version(&self, id: RequestId) -> Option<Version> {
        let Some(State::Owned(owned)) = self.requests.get(&id) else { return None };
        Some(owned.version)
    }

    /// Returns all tokens of an owned request, whether readers have been shown them or not.
    pub fn tokens(&self, id: RequestId) -> Option<&[String]> {
        let Some(State::Owned(owned)) = self.requests.get(&id) else { return None };
        Some(&owned.tokens)
    }

    /// Returns the number of copies that this node holds for others.
    pub fn held_copies(&self) -> usize {
        self.requests.values().filter(|state| matches!(state, State::Held(_))).count()
    }

    pub(super) fn current_run(&mut self, id: RequestId, version: Version) -> Option<&mut Owned> {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return None };
        // The generation rises with each new holder while the run continues, so it is not compared.
        let is_current =
            owned.version.epoch == version.epoch && owned.version.owner == version.owner;
        (is_current && owned.handover.is_none() && owned.end.is_none()).then_some(owned)
    }

    pub(super) fn take_ownership(
        &mut self,
        now: Stamp,
        id: RequestId,
        version: Version,
        produced: Produced,
        previous_owner: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Produced { body, tokens, origin } = produced;
        let owned = Owned {
            version,
            body,
            tokens,
            origin,
            end: None,
            released: 0,
            stage: Stage::Copying,
            holder: None,
            leaving_holder: None,
            failed_holders: Vec::new(),
            without_holder_since: None,
            release_uncopied: false,
            owned_since: now,
            handover: None,
            previous_owner,
            claims_left: if previous_owner.is_some() { self.options.claim_rounds } else { 0 },
            last_claim: Stamp(0),
        };
        self.requests.insert(id, State::Owned(Box::new(owned)));
        self.choose_holder(now, id, out);
    }

    // The old holder may still be alive and take over later. It is asked to drop its copy, and the
    // new copy carries a higher generation, so that the newer copy wins if both take over.
    pub(super) fn choose_holder(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        self.replace_holder(now, id, None, out);
    }

    /// Replaces the holder by `preferred`, if that is a known peer, or by the one that ranks first.
    pub(super) fn replace_holder(
        &mut self,
        now: Stamp,
        id: RequestId,
        preferred: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if let Some(old) = owned.holder.take() {
            // A leaving holder keeps its copy until the new holder has one.
            if self.peers.is_leaving(old.peer) {
                owned.leaving_holder = Some((old.peer, owned.version));
            } else {
                out.push(Action::Send(old.peer, Message::Drop { id, version: owned.version }));
            }
            owned.version.generation += 1;
        }
        let timed_out = self.options.accept_timeout <= now.since(owned.owned_since);
        let preferred = preferred.filter(|peer| self.peers.contains(*peer));
        let peer = preferred.or_else(|| self.peers.best_holder(id, &owned.failed_holders));
        let peer = peer.filter(|_| owned.stage == Stage::Settled || !timed_out);
        let Some(peer) = peer else {
            self.continue_without_holder(now, id, out);
            return;
        };
        owned.holder = Some(Holder::new(peer));
        owned.without_holder_since = None;
        owned.release_uncopied = false;
        self.dirty.insert(id);
        self.flush(now, id, out);
    }

    // After a long pause an owner sees no members at first, although its holder may have taken the
    // request over. If it released tokens at once, a reader would get text that differs from the
    // new owner's. The members, and then the new owner's claim, are received shortly after, so the
    // owner first waits for the holder timeout.
    fn continue_without_holder(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let since = *owned.without_holder_since.get_or_insert(now);
        let had_copy = owned.stage == Stage::Settled || owned.previous_owner.is_some();
        if had_copy && now.since(since) < self.options.holder_timeout {
            return;
        }
        owned.release_uncopied = true;
        self.mark_settled(now, id, out);
        self.release_all(now, id, out);
    }

    pub(super) fn mark_settled(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if owned.stage == Stage::Settled {
            return;
        }
        owned.stage = Stage::Settled;
        let copied =
            owned.holder.as_ref().map_or(CopyLocation::NoCopy, |it| CopyLocation::At(it.peer));
        if owned.previous_owner.is_none() {
            out.push(Action::Accepted(id, copied));
        }
        self.send_claims(now, id, out);
    }

    // A new owner sends its claim only once a peer holds its copy: a node that receives the claim
    // drops its own copy, and if the new owner then died without a copy the request would be lost.
    pub(super) fn send_claims(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let is_due = owned.last_claim == Stamp(0)
            || self.options.retry_interval <= now.since(owned.last_claim);
        if owned.claims_left == 0 || owned.stage != Stage::Settled || !is_due {
            return;
        }
        owned.claims_left -= 1;
        owned.last_claim = now;
        let holder = owned.holder.as_ref().map(|holder| holder.peer);
        let mut to = self.peers.likely_holders(id, self.options.claim_fanout);
        to.retain(|peer| Some(*peer) != holder && Some(*peer) != owned.previous_owner);
        to.extend(owned.previous_owner);
        for peer in to {
            out.push(Action::Send(peer, Message::Claim { id, version: owned.version }));
        }
    }

    pub(super) fn flush(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if owned.handover.is_some() {
            return;
        }
        let Some(holder) = &mut owned.holder else {
            if owned.release_uncopied {
                self.release_all(now, id, out);
            }
            return;
        };
        let is_behind =
            !holder.has_copy || holder.acked < owned.tokens.len() || owned.end.is_some();
        if !is_behind {
            return;
        }
        let is_waiting =
            holder.in_flight_since.is_some_and(|at| now.since(at) < self.options.retry_interval);
        if is_waiting {
            return;
        }
        if holder.has_copy && now.since(holder.last_sent) < self.options.checkpoint_interval {
            self.dirty.insert(id);
            return;
        }
        holder.in_flight_since = Some(now);
        holder.last_sent = now;
        holder.awaiting_since = holder.awaiting_since.or(Some(now));
        let (peer, has_copy, acked) = (holder.peer, holder.has_copy, holder.acked);
        let (version, end) = (owned.version, owned.end.clone());
        let message = match has_copy {
            true => {
                let tokens = owned.tokens[acked..].to_vec();
                // A holder that has tokens has their origin.
                let origin = owned.origin.clone().filter(|_| acked == 0);
                Message::Progress { id, version, from: acked, tokens, origin, end }
            }
            false => {
                let Produced { body, tokens, origin } = Produced::of(owned);
                Message::Copy { id, version, body, tokens, origin, end }
            }
        };
        out.push(Action::Send(peer, message));
    }

    /// Shows readers the tokens up to index `until`, exclusive.
    pub(super) fn release(&mut self, id: RequestId, until: usize, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let until = until.min(owned.tokens.len());
        if until <= owned.released {
            return;
        }
        let tokens = owned.tokens[owned.released..until].to_vec();
        out.push(Action::Release(id, owned.released, tokens));
        owned.released = until;
    }

    pub(super) fn release_all(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        self.release(id, usize::MAX, out);
        self.deliver_end(now, id, out);
    }

    pub(super) fn deliver_end(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let Some(end) = owned.end.take() else { return };
        let tombstone = Tombstone {
            version: owned.version,
            final_tokens: Some(owned.tokens.len()),
            passed_to: None,
            created_at: now,
        };
        self.requests.insert(id, State::Tombstone(tombstone));
        out.push(Action::End(id, end));
    }
}
