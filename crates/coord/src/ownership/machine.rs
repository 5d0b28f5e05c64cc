//! The state machine of one node: events in, actions out.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;

use super::{
    message::{Message, Version},
    options::OwnershipOptions,
    peers::{Peer, Peers},
    row::{Gone, Holder, Owned, Row, Stage},
};

/// The messages in a row that a holder may fail to get before another one is chosen.
pub(super) const UNDELIVERED_MAX: u8 = 2;

/// An `Action` is what the node around an [`Ownership`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a life of a node.
    Send(Incarnation, Message),
    /// Tell the caller that the request is accepted.
    Accepted(RequestId, CopyLocation),
    /// Run the request from the given tokens on; this node owns it now.
    Start {
        /// The request.
        id: RequestId,
        /// The version under which it is owned.
        version: Version,
        /// The request as its owner needs it.
        body: Bytes,
        /// The tokens so far.
        tokens: Vec<String>,
    },
    /// Stop running the request; it is being offered to another node.
    Stop(RequestId),
    /// The request is owned by another life now; its readers go there.
    Moved(RequestId, Incarnation),
    /// Show these tokens to readers; the first has the given number.
    Release(RequestId, usize, Vec<String>),
    /// Show the end to readers; nothing follows.
    End(RequestId, Bytes),
    /// Keep a finished answer for readers that come here.
    Keep {
        /// The request.
        id: RequestId,
        /// The request as its owner needed it.
        body: Bytes,
        /// All tokens.
        tokens: Vec<String>,
        /// How the answer ended.
        end: Bytes,
    },
}

/// A `CopyLocation` tells where the copy of an accepted request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyLocation {
    /// A peer has it.
    At(Incarnation),
    /// No peer took it: the request is lost with this node.
    Nowhere,
}

/// An `Ownership` decides for one node which requests it owns and which it holds copies of.
#[derive(Debug)]
pub struct Ownership {
    pub(super) options: OwnershipOptions,
    pub(super) own: Incarnation,
    pub(super) peers: Peers,
    pub(super) rows: BTreeMap<RequestId, Row>,
    /// Owned requests that may have something to send.
    pub(super) dirty: BTreeSet<RequestId>,
    /// Since when this node is leaving.
    pub(super) leaving: Option<Stamp>,
}

impl Ownership {
    /// Returns the machine of the node `own` in `zone`, which knows no peer yet.
    pub fn new(own: Incarnation, zone: ZoneName, options: OwnershipOptions) -> Ownership {
        let peers = Peers { zone, present: Vec::new() };
        let (rows, dirty) = (BTreeMap::new(), BTreeSet::new());
        Ownership { options, own, peers, rows, dirty, leaving: None }
    }

    /// Takes a new request on; [`Action::Accepted`] follows once it is copied.
    pub fn accept(&mut self, now: Stamp, id: RequestId, body: Bytes) -> Vec<Action> {
        let version = Version { epoch: 1, generation: 0, owner: self.own };
        let mut out = Vec::new();
        self.own_from(now, id, version, body, Vec::new(), None, &mut out);
        out
    }

    /// Adds a token that was produced under `version`; returns false once that run is over.
    ///
    /// The token goes out with the next [`Ownership::tick`], so that requests share messages.
    pub fn token(&mut self, id: RequestId, version: Version, token: String) -> bool {
        let Some(owned) = self.running(id, version) else { return false };
        owned.tokens.push(token);
        self.dirty.insert(id);
        true
    }

    /// Notes how the answer ended that was produced under `version`; returns false once that run
    /// is over.
    pub fn finish(&mut self, id: RequestId, version: Version, end: Bytes) -> bool {
        let Some(owned) = self.running(id, version) else { return false };
        owned.end = Some(end);
        self.dirty.insert(id);
        true
    }

    /// Puts new members in place of the present ones.
    pub fn set_members(&mut self, now: Stamp, members: Vec<Peer>) -> Vec<Action> {
        self.peers.present = members;
        let mut out = Vec::new();
        let ids: Vec<RequestId> = self.rows.keys().copied().collect();
        for id in ids {
            self.look_at_members(now, id, &mut out);
        }
        out
    }

    /// Notes that this node is leaving: it passes on the copies that it holds.
    pub fn leave(&mut self, now: Stamp) {
        self.leaving.get_or_insert(now);
    }

    /// Offers an owned request to its holder or another peer, to own it from now on.
    ///
    /// Where no peer is there to take it, the request stays and goes on.
    pub fn hand_over(&mut self, now: Stamp, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        let offered = matches!(self.rows.get(&id), Some(Row::Owned(it)) if it.handing.is_some());
        if !offered {
            self.offer(now, id, &mut out);
        }
        out
    }

    /// Notes that a message to a peer could not be delivered.
    pub fn undelivered(&mut self, now: Stamp, to: Incarnation, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return out };
        if let Some(handing) = owned.handing.as_mut().filter(|it| it.version.owner == to) {
            handing.undelivered += 1;
            if UNDELIVERED_MAX <= handing.undelivered {
                self.offer(now, id, &mut out);
            }
            return out;
        }
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == to) else {
            return out;
        };
        // A first copy is waited for by a caller. Later one failure may be a moment's trouble, but
        // a holder that fails again is taken for dead before the members say so: should this node
        // go as well by then, nobody would have the request.
        holder.undelivered += 1;
        let failed = owned.stage == Stage::Copying || UNDELIVERED_MAX <= holder.undelivered;
        if failed && owned.handing.is_none() {
            owned.failed.push(to);
            self.choose_holder(now, id, &mut out);
        }
        out
    }

    /// Sends what is due and ends waits that have lasted too long.
    pub fn tick(&mut self, now: Stamp) -> Vec<Action> {
        let mut out = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            self.flush(now, id, &mut out);
        }
        out
    }

    /// Looks at every request for takeovers, repeats and time-outs; due some times a second.
    pub fn sweep(&mut self, now: Stamp) -> Vec<Action> {
        let mut out = Vec::new();
        let ids: Vec<RequestId> = self.rows.keys().copied().collect();
        for id in ids {
            match self.rows.get(&id) {
                Some(Row::Owned(_)) => self.sweep_owned(now, id, &mut out),
                Some(Row::Held(_)) => self.sweep_held(now, id, &mut out),
                Some(Row::Gone(gone)) if self.options.keep <= now.since(gone.at) => {
                    self.rows.remove(&id);
                }
                Some(Row::Gone(_)) | None => {}
            }
        }
        out
    }

    /// Returns the requests that this node owns and that have not ended.
    pub fn owned(&self) -> Vec<RequestId> {
        let owned = self.rows.iter().filter(|(_, row)| matches!(row, Row::Owned(_)));
        owned.map(|(id, _)| *id).collect()
    }

    /// Returns the body of a request that another node owns and that is copied here.
    pub fn held_body(&self, id: RequestId) -> Option<&Bytes> {
        let Some(Row::Held(held)) = self.rows.get(&id) else { return None };
        Some(&held.body)
    }

    /// Returns the node that a request went to from here.
    pub fn moved_to(&self, id: RequestId) -> Option<Incarnation> {
        let Some(Row::Gone(gone)) = self.rows.get(&id) else { return None };
        Some(gone.version.owner)
    }

    /// Returns the version under which this node owns a request.
    pub fn version(&self, id: RequestId) -> Option<Version> {
        let Some(Row::Owned(owned)) = self.rows.get(&id) else { return None };
        Some(owned.version)
    }

    /// Returns all tokens of an owned request, shown to readers or not.
    pub fn tokens(&self, id: RequestId) -> Option<&[String]> {
        let Some(Row::Owned(owned)) = self.rows.get(&id) else { return None };
        Some(&owned.tokens)
    }

    /// Returns the number of copies held for other nodes.
    pub fn held(&self) -> usize {
        self.rows.values().filter(|row| matches!(row, Row::Held(_))).count()
    }

    pub(super) fn running(&mut self, id: RequestId, version: Version) -> Option<&mut Owned> {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return None };
        // The generation rises with each new holder; the run goes on under it.
        let current = owned.version.epoch == version.epoch && owned.version.owner == version.owner;
        (current && owned.handing.is_none() && owned.end.is_none()).then_some(owned)
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn own_from(
        &mut self,
        now: Stamp,
        id: RequestId,
        version: Version,
        body: Bytes,
        tokens: Vec<String>,
        before: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let owned = Owned {
            version,
            body,
            tokens,
            end: None,
            released: 0,
            stage: Stage::Copying,
            holder: None,
            former: None,
            failed: Vec::new(),
            alone: None,
            unprotected: false,
            since: now,
            handing: None,
            before,
            claims: if before.is_some() { self.options.claims } else { 0 },
            claimed_at: Stamp(0),
        };
        self.rows.insert(id, Row::Owned(Box::new(owned)));
        self.choose_holder(now, id, out);
    }

    // The old holder may still be alive and take over later. It is told to drop its copy, and
    // the new one carries a higher generation, so that the later copy wins where both take over.
    pub(super) fn choose_holder(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        self.replace_holder(now, id, None, out);
    }

    /// Puts a new holder in place of the present one: `wanted`, if it is able to, or the best.
    pub(super) fn replace_holder(
        &mut self,
        now: Stamp,
        id: RequestId,
        wanted: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if let Some(before) = owned.holder.take() {
            // A leaving holder keeps its copy until the new one is there.
            if self.peers.is_leaving(before.peer) {
                owned.former = Some((before.peer, owned.version));
            } else {
                out.push(Action::Send(before.peer, Message::Drop { id, version: owned.version }));
            }
            owned.version.generation += 1;
        }
        let waited = self.options.accept_timeout <= now.since(owned.since);
        let wanted = wanted.filter(|wanted| self.peers.contains(*wanted));
        let peer = wanted.or_else(|| self.peers.holder_for(id, &owned.failed));
        let peer = peer.filter(|_| owned.stage == Stage::Settled || !waited);
        let Some(peer) = peer else {
            self.go_alone(now, id, out);
            return;
        };
        owned.holder = Some(Holder::new(peer));
        owned.alone = None;
        owned.unprotected = false;
        self.dirty.insert(id);
        self.flush(now, id, out);
    }

    // An owner that wakes from a long pause sees no members at first, while its holder has taken
    // the request over. Were it to show tokens at once, a reader would get words that the new
    // owner writes differently. The members come back, and with them the news, in a moment.
    fn go_alone(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        let since = *owned.alone.get_or_insert(now);
        let had_copy = owned.stage == Stage::Settled || owned.before.is_some();
        if had_copy && now.since(since) < self.options.holder_timeout {
            return;
        }
        owned.unprotected = true;
        self.settle_stage(now, id, out);
        self.release_all(now, id, out);
    }

    pub(super) fn settle_stage(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if owned.stage == Stage::Settled {
            return;
        }
        owned.stage = Stage::Settled;
        let copied =
            owned.holder.as_ref().map_or(CopyLocation::Nowhere, |it| CopyLocation::At(it.peer));
        if owned.before.is_none() {
            out.push(Action::Accepted(id, copied));
        }
        self.claim(now, id, out);
    }

    // A new owner is announced only once it has a copy of its own: whoever hears of it lets go of
    // the state, and a new owner that died before its first copy would then take it along.
    pub(super) fn claim(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        let due = owned.claimed_at == Stamp(0) || self.options.retry <= now.since(owned.claimed_at);
        if owned.claims == 0 || owned.stage != Stage::Settled || !due {
            return;
        }
        owned.claims -= 1;
        owned.claimed_at = now;
        let holder = owned.holder.as_ref().map(|holder| holder.peer);
        let mut to = self.peers.likely_holders(id, self.options.claimed_to);
        to.retain(|peer| Some(*peer) != holder && Some(*peer) != owned.before);
        to.extend(owned.before);
        for peer in to {
            out.push(Action::Send(peer, Message::Claim { id, version: owned.version }));
        }
    }

    pub(super) fn flush(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if owned.handing.is_some() {
            return;
        }
        let Some(holder) = &mut owned.holder else {
            if owned.unprotected {
                self.release_all(now, id, out);
            }
            return;
        };
        let behind = !holder.has || holder.acked < owned.tokens.len() || owned.end.is_some();
        if !behind {
            return;
        }
        let waits = holder.in_flight.is_some_and(|at| now.since(at) < self.options.retry);
        if waits {
            return;
        }
        if holder.has && now.since(holder.last_sent) < self.options.checkpoint_interval {
            self.dirty.insert(id);
            return;
        }
        holder.in_flight = Some(now);
        holder.last_sent = now;
        holder.silent = holder.silent.or(Some(now));
        let (version, end) = (owned.version, owned.end.clone());
        let message = match holder.has {
            true => {
                let tokens = owned.tokens[holder.acked..].to_vec();
                Message::Progress { id, version, from: holder.acked, tokens, end }
            }
            false => {
                let (body, tokens) = (owned.body.clone(), owned.tokens.clone());
                Message::Copy { id, version, body, tokens, end }
            }
        };
        out.push(Action::Send(holder.peer, message));
    }

    /// Shows readers the tokens before number `until`.
    pub(super) fn release(&mut self, id: RequestId, until: usize, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
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
        self.end(now, id, out);
    }

    pub(super) fn end(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        let Some(end) = owned.end.take() else { return };
        let gone =
            Gone { version: owned.version, ended: Some(owned.tokens.len()), passed: None, at: now };
        self.rows.insert(id, Row::Gone(gone));
        out.push(Action::End(id, end));
    }
}
