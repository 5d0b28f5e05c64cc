//! What a node does with another node's messages.

use bulrushhall_core::{Incarnation, RequestId, Stamp};
use bytes::Bytes;

use super::{
    machine::{Action, Ownership},
    message::{Message, Version},
    row::{Gone, Held, Row, Stage},
};

impl Ownership {
    /// Acts on a message of another node.
    pub fn receive(&mut self, now: Stamp, from: Incarnation, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        match message {
            Message::Copy { id, version, body, tokens, end } => {
                self.on_copy(now, from, id, version, Copied { body, tokens, end }, &mut out);
            }
            Message::Progress { id, version, from: first, tokens, end } => {
                let added = Added { first, tokens, end };
                self.on_progress(now, from, id, version, added, &mut out);
            }
            Message::Ack { id, version, count, ended } => {
                self.on_ack(now, from, id, version, (count, ended), &mut out);
            }
            Message::Missing { id, version } => self.on_missing(now, from, id, version, &mut out),
            Message::Offer { id, version, body, tokens } => {
                self.on_offer(now, from, id, version, (body, tokens), &mut out);
            }
            Message::Claim { id, version } => self.on_claim(now, from, id, version, &mut out),
            Message::PassedOn { id, version, to } => {
                self.on_passed(now, from, id, version, to, &mut out);
            }
            Message::Ask { id, version } => self.on_ask(from, id, version, &mut out),
            Message::Drop { id, version } => {
                if let Some(Row::Held(held)) = self.rows.get(&id)
                    && held.version <= version
                {
                    self.rows.remove(&id);
                }
            }
        }
        out
    }

    fn on_copy(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        copied: Copied,
        out: &mut Vec<Action>,
    ) {
        if self.tell_passed(from, id, version, out) {
            return;
        }
        match self.rows.get_mut(&id) {
            Some(Row::Gone(gone)) if gone.ended.is_some() && version <= gone.version => {
                let count = gone.ended.unwrap_or(0);
                let message = match version == gone.version {
                    true => Message::Ack { id, version, count, ended: true },
                    false => Message::Claim { id, version: gone.version },
                };
                out.push(Action::Send(from, message));
                return;
            }
            Some(Row::Held(held)) if held.version == version => {
                held.heard = now;
                if held.tokens.len() < copied.tokens.len() {
                    held.tokens = copied.tokens;
                }
                self.held_end(now, id, copied.end, out);
                self.ack(from, id, version, out);
                return;
            }
            Some(row) if version < row.version() => {
                self.refuse(from, id, out);
                return;
            }
            Some(Row::Owned(_)) => self.give_up(now, id, version, out),
            Some(Row::Gone(_) | Row::Held(_)) | None => {}
        }
        let Copied { body, tokens, end } = copied;
        let held = Held { version, body, tokens, heard: now, missing_since: None, passed: None };
        self.rows.insert(id, Row::Held(held));
        self.note_missing(now, id);
        self.held_end(now, id, end, out);
        self.ack(from, id, version, out);
    }

    fn on_progress(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        added: Added,
        out: &mut Vec<Action>,
    ) {
        if self.tell_passed(from, id, version, out) {
            return;
        }
        match self.rows.get_mut(&id) {
            Some(Row::Held(held)) if held.version == version => {
                held.heard = now;
                if added.first <= held.tokens.len() {
                    let known = held.tokens.len() - added.first;
                    held.tokens.extend(added.tokens.into_iter().skip(known));
                    self.held_end(now, id, added.end, out);
                }
                self.ack(from, id, version, out);
            }
            Some(Row::Gone(gone)) if gone.ended.is_some() && gone.version == version => {
                self.ack(from, id, version, out);
            }
            Some(row) if version < row.version() => self.refuse(from, id, out),
            _ => out.push(Action::Send(from, Message::Missing { id, version })),
        }
    }

    // Tokens are shown to readers only once the holder has them. An owner that lost the request
    // without knowing it gets no acknowledgement, so its readers see nothing that the new owner
    // would write differently.
    fn on_ack(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        (count, ended): (usize, bool),
        out: &mut Vec<Action>,
    ) {
        self.let_go(now, from, id, version);
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        if owned.version != version {
            return;
        }
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == from) else {
            return;
        };
        holder.has = true;
        holder.in_flight = None;
        holder.undelivered = 0;
        if let Some((former, version)) = owned.former.take() {
            out.push(Action::Send(former, Message::Drop { id, version }));
        }
        holder.acked = holder.acked.max(count.min(owned.tokens.len()));
        let acked = holder.acked;
        let all = acked == owned.tokens.len() && (ended || owned.end.is_none());
        holder.silent = if all { None } else { Some(now) };
        self.settle_stage(now, id, out);
        self.release(id, acked, out);
        if ended && all {
            self.end(now, id, out);
            return;
        }
        self.flush(now, id, out);
    }

    // A copy that was passed on is let go of, so that only one of the two takes over.
    fn let_go(&mut self, now: Stamp, from: Incarnation, id: RequestId, version: Version) {
        let Some(Row::Held(held)) = self.rows.get(&id) else { return };
        if held.version != version || held.passed.is_none_or(|(to, _)| to != from) {
            return;
        }
        let gone = Gone { version, ended: None, passed: Some(from), at: now };
        self.rows.insert(id, Row::Gone(gone));
    }

    // Were progress taken on after the copy was passed on, the owner would show its readers
    // tokens that the peer which now has the copy has never seen, and would write differently.
    fn tell_passed(
        &self,
        from: Incarnation,
        id: RequestId,
        version: Version,
        out: &mut Vec<Action>,
    ) -> bool {
        let (known, to) = match self.rows.get(&id) {
            Some(Row::Held(held)) => (held.version, held.passed.map(|(to, _)| to)),
            Some(Row::Gone(gone)) => (gone.version, gone.passed),
            Some(Row::Owned(_)) | None => return false,
        };
        let Some(to) = to.filter(|_| known == version) else { return false };
        out.push(Action::Send(from, Message::PassedOn { id, version, to }));
        true
    }

    fn on_passed(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        to: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        let current = owned.version == version && owned.handing.is_none();
        if !current || owned.holder.as_ref().is_none_or(|holder| holder.peer != from) {
            return;
        }
        owned.failed.push(from);
        self.replace_holder(now, id, Some(to), out);
    }

    fn on_missing(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        out: &mut Vec<Action>,
    ) {
        let Some(Row::Owned(owned)) = self.rows.get_mut(&id) else { return };
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == from) else {
            return;
        };
        if owned.version != version || !holder.has {
            return;
        }
        holder.has = false;
        holder.in_flight = None;
        self.flush(now, id, out);
    }

    fn on_offer(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        (body, tokens): (Bytes, Vec<String>),
        out: &mut Vec<Action>,
    ) {
        if version.owner != self.own {
            return;
        }
        if let Some(row) = self.rows.get(&id) {
            let known = row.version();
            // The generation of a version that is owned here has risen since the offer.
            let same = known.epoch == version.epoch && known.owner == version.owner;
            if same || version <= known {
                self.refuse(from, id, out);
                return;
            }
            if let Row::Owned(_) = row {
                self.give_up(now, id, version, out);
            }
        }
        let start = Action::Start { id, version, body: body.clone(), tokens: tokens.clone() };
        out.push(start);
        self.own_from(now, id, version, body, tokens, Some(from), out);
    }

    fn on_claim(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        out: &mut Vec<Action>,
    ) {
        let Some(row) = self.rows.get(&id) else {
            // The old owner may yet ask for a copy to be held here; it must learn of the new one.
            let gone = Gone { version, ended: None, passed: None, at: now };
            self.rows.insert(id, Row::Gone(gone));
            return;
        };
        let known = row.version();
        match row {
            Row::Owned(owned) => {
                let handed =
                    owned.handing.as_ref().is_some_and(|it| it.version.epoch <= version.epoch);
                if known < version || handed {
                    self.give_up(now, id, version, out);
                } else if known != version {
                    self.refuse(from, id, out);
                }
            }
            Row::Held(_) if known < version => {
                let gone = Gone { version, ended: None, passed: None, at: now };
                self.rows.insert(id, Row::Gone(gone));
            }
            Row::Gone(gone) if known < version && gone.ended.is_none() => {
                let gone = Gone { version, ended: None, passed: None, at: now };
                self.rows.insert(id, Row::Gone(gone));
            }
            Row::Held(_) | Row::Gone(_) => {}
        }
    }

    fn on_ask(&self, from: Incarnation, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let needed = match self.rows.get(&id) {
            // The copy of a former holder is needed until the present one has its own.
            Some(Row::Owned(owned)) => {
                owned.holder.as_ref().is_none_or(|it| it.peer == from || !it.has)
            }
            Some(Row::Held(_) | Row::Gone(_)) | None => false,
        };
        if !needed {
            out.push(Action::Send(from, Message::Drop { id, version }));
        }
    }

    fn held_end(&mut self, now: Stamp, id: RequestId, end: Option<Bytes>, out: &mut Vec<Action>) {
        let Some(end) = end else { return };
        let Some(Row::Held(held)) = self.rows.remove(&id) else { return };
        let Held { version, body, tokens, .. } = held;
        let gone = Gone { version, ended: Some(tokens.len()), passed: None, at: now };
        self.rows.insert(id, Row::Gone(gone));
        out.push(Action::Keep { id, body, tokens, end });
    }

    fn ack(&self, to: Incarnation, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let (count, ended) = match self.rows.get(&id) {
            Some(Row::Held(held)) => (held.tokens.len(), false),
            Some(Row::Gone(gone)) => (gone.ended.unwrap_or(0), gone.ended.is_some()),
            Some(Row::Owned(_)) | None => return,
        };
        out.push(Action::Send(to, Message::Ack { id, version, count, ended }));
    }

    // An owner that has no copy of its own yet keeps silent: the sender may be the only other
    // one who still has the state.
    fn refuse(&self, to: Incarnation, id: RequestId, out: &mut Vec<Action>) {
        let Some(row) = self.rows.get(&id) else { return };
        if let Row::Owned(owned) = row
            && owned.stage == Stage::Copying
        {
            return;
        }
        out.push(Action::Send(to, Message::Claim { id, version: row.version() }));
    }

    fn give_up(&mut self, now: Stamp, id: RequestId, to: Version, out: &mut Vec<Action>) {
        let Some(Row::Owned(owned)) = self.rows.get(&id) else { return };
        if owned.handing.is_none() {
            out.push(Action::Stop(id));
        }
        if let Some(holder) = &owned.holder
            && holder.peer != to.owner
        {
            let drop = Message::Drop { id, version: owned.version };
            out.push(Action::Send(holder.peer, drop));
        }
        out.push(Action::Moved(id, to.owner));
        self.rows.insert(id, Row::Gone(Gone { version: to, ended: None, passed: None, at: now }));
    }

    fn note_missing(&mut self, now: Stamp, id: RequestId) {
        let Some(Row::Held(held)) = self.rows.get_mut(&id) else { return };
        if !self.peers.contains(held.version.owner) {
            held.missing_since = Some(now);
        }
    }
}

struct Copied {
    body: Bytes,
    tokens: Vec<String>,
    end: Option<Bytes>,
}

struct Added {
    first: usize,
    tokens: Vec<String>,
    end: Option<Bytes>,
}
