//! The state machine of one node: events in, actions out.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{Incarnation, RequestId, Stamp, ZoneName};
use bytes::Bytes;

use super::{
    message::{Message, Version},
    options::OwnershipOptions,
    peers::{Peer, Peers},
    row::{Gone, Handing, Held, Holder, Owned, Row, Stage},
};

/// The messages in a row that a holder may fail to get before another one is chosen.
const UNDELIVERED_MAX: u8 = 2;

/// An `Action` is what the node around an [`Ownership`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a life of a node.
    Send(Incarnation, Message),
    /// Tell the caller that the request is accepted.
    Accepted(RequestId, Copied),
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

/// A `Copied` tells where the copy of an accepted request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copied {
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
    pub fn went_to(&self, id: RequestId) -> Option<Incarnation> {
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
        let copied = owned.holder.as_ref().map_or(Copied::Nowhere, |it| Copied::At(it.peer));
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
        if holder.has && now.since(holder.last_sent) < self.options.checkpoint {
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

    fn look_at_members(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        match self.rows.get_mut(&id) {
            Some(Row::Owned(owned)) => {
                let others = self.peers.holder_for(id, &[]).is_some();
                let lost = owned.holder.as_ref().is_some_and(|it| {
                    !self.peers.contains(it.peer) || others && self.peers.is_leaving(it.peer)
                });
                let alone = owned.holder.is_none() && !self.peers.present.is_empty();
                if owned.handing.is_none() && (lost || alone) {
                    owned.failed.clear();
                    self.choose_holder(now, id, out);
                }
            }
            Some(Row::Held(held)) => {
                let present = self.peers.contains(held.version.owner);
                held.missing_since = match present {
                    true => None,
                    false => held.missing_since.or(Some(now)),
                };
            }
            Some(Row::Gone(_)) | None => {}
        }
    }

    fn sweep_held(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Held(held)) = self.rows.get_mut(&id) else { return };
        let Some(since) = held.missing_since else {
            if self.options.ask <= now.since(held.heard) {
                held.heard = now;
                let ask = Message::Ask { id, version: held.version };
                out.push(Action::Send(held.version.owner, ask));
            }
            self.pass_on(now, id, out);
            return;
        };
        let passed = held.passed.is_some_and(|(to, _)| self.peers.contains(to));
        if passed || now.since(since) < self.options.takeover {
            self.pass_on(now, id, out);
            return;
        }
        let Some(Row::Held(Held { version, body, tokens, .. })) = self.rows.remove(&id) else {
            return;
        };
        let before = version.owner;
        let version = Version { epoch: version.epoch + 1, owner: self.own, ..version };
        let start = Action::Start { id, version, body: body.clone(), tokens: tokens.clone() };
        out.push(start);
        self.own_from(now, id, version, body, tokens, Some(before), out);
    }

    // A holder and its owner may go one after the other: the holder is told to leave, and the owner
    // dies before it has copied the request elsewhere. Nobody would have it then, and its caller
    // would wait in vain. A leaving holder therefore passes on what owners have left with it.
    fn pass_on(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(since) = self.leaving else { return };
        if now.since(since) < self.options.pass_on {
            return;
        }
        let Some(Row::Held(held)) = self.rows.get_mut(&id) else { return };
        if held.passed.is_some_and(|(_, at)| now.since(at) < self.options.retry) {
            return;
        }
        let before = held.passed.map(|(to, _)| to).filter(|to| self.peers.contains(*to));
        let best = || self.peers.holder_for(id, &[held.version.owner]);
        let Some(to) = before.or_else(best) else { return };
        held.passed = Some((to, now));
        let (version, body, tokens) = (held.version, held.body.clone(), held.tokens.clone());
        out.push(Action::Send(to, Message::Copy { id, version, body, tokens, end: None }));
    }

    fn sweep_owned(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if let Some(handing) = &owned.handing {
            let waited = now.since(handing.sent);
            if self.options.retry <= waited {
                self.offer(now, id, out);
            }
            return;
        }
        let timeout = match owned.stage {
            Stage::Copying => self.options.copy_timeout,
            Stage::Settled => self.options.holder_timeout,
        };
        let silent = owned.holder.as_ref().and_then(|holder| Some((holder.peer, holder.silent?)));
        if let Some((peer, since)) = silent
            && timeout <= now.since(since)
        {
            owned.failed.push(peer);
            self.choose_holder(now, id, out);
            return;
        }
        // A peer that failed once may be well again; without a copy any peer is worth a try.
        let alone = owned.holder.is_none().then_some(owned.alone).flatten();
        if alone.is_some_and(|since| self.options.holder_timeout <= now.since(since)) {
            owned.failed.clear();
            self.choose_holder(now, id, out);
        }
        self.claim(now, id, out);
        self.flush(now, id, out);
    }

    fn offer(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if owned.end.is_some() || owned.stage == Stage::Copying {
            return;
        }
        let mut version = Version { epoch: owned.version.epoch + 1, ..owned.version };
        let mut first = now;
        let mut not = Vec::new();
        if let Some(handing) = &owned.handing {
            let stale = self.options.holder_timeout <= now.since(handing.first)
                || UNDELIVERED_MAX <= handing.undelivered;
            if stale || !self.peers.contains(handing.version.owner) {
                // The peer may own the request by now. A higher epoch decides for the next one.
                not.push(handing.version.owner);
                version.epoch = handing.version.epoch + 1;
            } else {
                (version, first) = (handing.version, handing.first);
            }
        }
        let holder = owned.holder.as_ref().filter(|holder| holder.has).map(|holder| holder.peer);
        let able = |peer: &Peer| !peer.leaving && !not.contains(&peer.incarnation);
        let holder = holder.filter(|holder| {
            self.peers.present.iter().any(|peer| peer.incarnation == *holder && able(peer))
        });
        if first == now {
            let Some(target) = holder.or_else(|| self.peers.holder_for(id, &not)) else {
                self.take_back(now, id, version, out);
                return;
            };
            version.owner = target;
            if owned.handing.is_none() {
                out.push(Action::Stop(id));
            }
        }
        let same = owned.handing.as_ref().filter(|it| it.version.owner == version.owner);
        let undelivered = same.map_or(0, |it| it.undelivered);
        owned.handing = Some(Handing { version, first, sent: now, undelivered });
        let (body, tokens) = (owned.body.clone(), owned.tokens.clone());
        out.push(Action::Send(version.owner, Message::Offer { id, version, body, tokens }));
    }

    // The peer that was offered the request is gone and nobody else is there: it goes on here.
    fn take_back(&mut self, now: Stamp, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if owned.handing.take().is_none() {
            return;
        }
        owned.version = Version { owner: self.own, ..version };
        let (version, body, tokens) = (owned.version, owned.body.clone(), owned.tokens.clone());
        out.push(Action::Start { id, version, body, tokens });
        self.choose_holder(now, id, out);
    }
}
