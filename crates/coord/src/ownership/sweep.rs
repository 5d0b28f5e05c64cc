//! What the passing of time and the change of members make of the requests that a node owns or holds.

use bulrushhall_core::{RequestId, Stamp};

use super::{
    machine::{Action, Ownership, UNDELIVERED_MAX},
    message::{Message, Version},
    peers::Peer,
    row::{Handing, Held, Row, Stage},
};

impl Ownership {
    pub(super) fn look_at_members(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
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

    pub(super) fn sweep_held(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
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

    pub(super) fn sweep_owned(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
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

    pub(super) fn offer(&mut self, now: Stamp, id: RequestId, out: &mut Vec<Action>) {
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
