//! How a node reacts to elapsed time and to membership changes: takeovers, retries, handovers.

use bulrushhall_core::{RequestId, Stamp};

use super::{
    machine::{Action, MAX_UNDELIVERED, Ownership},
    message::{Message, Version},
    peers::Peer,
    produced::Produced,
    state::{Handover, Stage, State},
};

impl Ownership {
    pub(super) fn apply_members(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        match self.requests.get_mut(&id) {
            Some(State::Owned(owned)) => {
                let has_other = self.peers.best_holder(id, &[]).is_some();
                let is_lost = owned.holder.as_ref().is_some_and(|it| {
                    !self.peers.contains(it.peer) || has_other && self.peers.is_leaving(it.peer)
                });
                let can_choose = owned.holder.is_none() && !self.peers.live.is_empty();
                if owned.handover.is_none() && (is_lost || can_choose) {
                    owned.failed_holders.clear();
                    self.choose_holder(now, id, out);
                }
            }
            Some(State::Held(held)) => {
                let is_live = self.peers.contains(held.version.owner);
                held.owner_missing_since = match is_live {
                    true => None,
                    false => held.owner_missing_since.or(Some(now)),
                };
            }
            Some(State::Tombstone(_)) | None => {}
        }
    }

    pub(super) fn sweep_held(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Held(held)) = self.requests.get_mut(&id) else { return };
        let Some(since) = held.owner_missing_since else {
            if self.options.ask_delay <= now.since(held.last_received) {
                held.last_received = now;
                let ask = Message::Ask { id, version: held.version };
                out.push(Action::Send(held.version.owner, ask));
            }
            self.pass_on(now, id, out);
            return;
        };
        let is_passed_on = held.passed_to.is_some_and(|(to, _)| self.peers.contains(to));
        if is_passed_on || now.since(since) < self.options.takeover_delay {
            self.pass_on(now, id, out);
            return;
        }
        let Some(State::Held(held)) = self.requests.remove(&id) else { return };
        let (version, produced) = (held.version, Produced::of_held(&held));
        let previous_owner = version.owner;
        let version = Version { epoch: version.epoch + 1, owner: self.own, ..version };
        out.push(produced.start(id, version));
        self.take_ownership(now, id, version, produced, Some(previous_owner), out);
    }

    // The owner may fail after its holder has been asked to leave and before it has copied the
    // request to another peer. Once the holder has left, no node would have the request and its
    // caller would get no response. A leaving holder therefore passes on the copies that owners
    // have left with it.
    fn pass_on(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(since) = self.leaving else { return };
        if now.since(since) < self.options.pass_on_delay {
            return;
        }
        let Some(State::Held(held)) = self.requests.get_mut(&id) else { return };
        if held.passed_to.is_some_and(|(_, at)| now.since(at) < self.options.retry_interval) {
            return;
        }
        let earlier = held.passed_to.map(|(to, _)| to).filter(|to| self.peers.contains(*to));
        let best = || self.peers.best_holder(id, &[held.version.owner]);
        let Some(to) = earlier.or_else(best) else { return };
        held.passed_to = Some((to, now));
        let version = held.version;
        let Produced { body, tokens, origin } = Produced::of_held(held);
        let copy = Message::Copy { id, version, body, tokens, origin, end: None };
        out.push(Action::Send(to, copy));
    }

    pub(super) fn sweep_owned(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if let Some(handover) = &owned.handover {
            let elapsed = now.since(handover.last_sent);
            if self.options.retry_interval <= elapsed {
                self.offer(now, id, out);
            }
            return;
        }
        let timeout = match owned.stage {
            Stage::Copying => self.options.copy_timeout,
            Stage::Settled => self.options.holder_timeout,
        };
        let awaiting =
            owned.holder.as_ref().and_then(|holder| Some((holder.peer, holder.awaiting_since?)));
        if let Some((peer, since)) = awaiting
            && timeout <= now.since(since)
        {
            owned.failed_holders.push(peer);
            self.choose_holder(now, id, out);
            return;
        }
        // Without a copy any peer is worth another attempt: one that failed may have recovered.
        let without_holder = owned.holder.is_none().then_some(owned.without_holder_since).flatten();
        if without_holder.is_some_and(|since| self.options.holder_timeout <= now.since(since)) {
            owned.failed_holders.clear();
            self.choose_holder(now, id, out);
        }
        self.send_claims(now, id, out);
        self.flush(now, id, out);
    }

    pub(super) fn offer(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if owned.end.is_some() || owned.stage == Stage::Copying {
            return;
        }
        let mut version = Version { epoch: owned.version.epoch + 1, ..owned.version };
        let mut started_at = now;
        let mut excluded = Vec::new();
        if let Some(handover) = &owned.handover {
            let is_stale = self.options.holder_timeout <= now.since(handover.started_at)
                || MAX_UNDELIVERED <= handover.undelivered;
            if is_stale || !self.peers.contains(handover.version.owner) {
                // The peer may own the request already. With a higher epoch the next peer's claim
                // wins.
                excluded.push(handover.version.owner);
                version.epoch = handover.version.epoch + 1;
            } else {
                (version, started_at) = (handover.version, handover.started_at);
            }
        }
        let holder =
            owned.holder.as_ref().filter(|holder| holder.has_copy).map(|holder| holder.peer);
        let is_eligible = |peer: &Peer| !peer.leaving && !excluded.contains(&peer.incarnation);
        let holder = holder.filter(|holder| {
            self.peers.live.iter().any(|peer| peer.incarnation == *holder && is_eligible(peer))
        });
        if started_at == now {
            let Some(target) = holder.or_else(|| self.peers.best_holder(id, &excluded)) else {
                self.resume_here(now, id, version, out);
                return;
            };
            version.owner = target;
            if owned.handover.is_none() {
                out.push(Action::Stop(id));
            }
        }
        let same_peer = owned.handover.as_ref().filter(|it| it.version.owner == version.owner);
        let undelivered = same_peer.map_or(0, |it| it.undelivered);
        owned.handover = Some(Handover { version, started_at, last_sent: now, undelivered });
        let Produced { body, tokens, origin } = Produced::of(owned);
        let offer = Message::Offer { id, version, body, tokens, origin };
        out.push(Action::Send(version.owner, offer));
    }

    // The peer that was offered the request is unavailable and there is no other one, so the
    // request continues here under the new epoch.
    fn resume_here(&mut self, now: Stamp, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if owned.handover.take().is_none() {
            return;
        }
        owned.version = Version { owner: self.own, ..version };
        let (version, produced) = (owned.version, Produced::of(owned));
        out.push(produced.start(id, version));
        self.choose_holder(now, id, out);
    }
}
