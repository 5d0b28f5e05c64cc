//! How a node acts on messages of other nodes.

use bulrushhall_core::{Incarnation, RequestId, Stamp};
use bytes::Bytes;

use super::{
    machine::{Action, Ownership},
    message::{Message, Version},
    produced::Produced,
    state::{Held, Stage, State, Tombstone},
};

impl Ownership {
    /// Handles a message of another node.
    pub fn receive(&mut self, now: Stamp, from: Incarnation, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        match message {
            Message::Copy { id, version, body, tokens, origin, end } => {
                let copied = CopiedState { produced: Produced { body, tokens, origin }, end };
                self.on_copy(now, from, id, version, copied, &mut out);
            }
            Message::Progress { id, version, from: first, tokens, origin, end } => {
                let added = AddedTokens { first, tokens, origin, end };
                self.on_progress(now, from, id, version, added, &mut out);
            }
            Message::Ack { id, version, count, ended } => {
                self.on_ack(now, from, id, version, (count, ended), &mut out);
            }
            Message::Missing { id, version } => self.on_missing(now, from, id, version, &mut out),
            Message::Offer { id, version, body, tokens, origin } => {
                let produced = Produced { body, tokens, origin };
                self.on_offer(now, from, id, version, produced, &mut out);
            }
            Message::Claim { id, version } => self.on_claim(now, from, id, version, &mut out),
            Message::PassedOn { id, version, to } => {
                self.on_passed_on(now, from, id, version, to, &mut out);
            }
            Message::Ask { id, version } => self.on_ask(from, id, version, &mut out),
            Message::Drop { id, version } => {
                if let Some(State::Held(held)) = self.requests.get(&id)
                    && held.version <= version
                {
                    self.requests.remove(&id);
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
        copied: CopiedState,
        out: &mut Vec<Action>,
    ) {
        if self.report_passed_on(from, id, version, out) {
            return;
        }
        match self.requests.get_mut(&id) {
            Some(State::Tombstone(tombstone))
                if tombstone.final_tokens.is_some() && version <= tombstone.version =>
            {
                let count = tombstone.final_tokens.unwrap_or(0);
                let message = match version == tombstone.version {
                    true => Message::Ack { id, version, count, ended: true },
                    false => Message::Claim { id, version: tombstone.version },
                };
                out.push(Action::Send(from, message));
                return;
            }
            Some(State::Held(held)) if held.version == version => {
                held.last_received = now;
                if held.tokens.len() < copied.produced.tokens.len() {
                    held.tokens = copied.produced.tokens;
                    held.origin = copied.produced.origin;
                }
                self.finish_held(now, id, copied.end, out);
                self.send_ack(from, id, version, out);
                return;
            }
            Some(state) if version < state.version() => {
                self.send_known_version(from, id, out);
                return;
            }
            Some(State::Owned(_)) => self.yield_to(now, id, version, out),
            Some(State::Tombstone(_) | State::Held(_)) | None => {}
        }
        let CopiedState { produced: Produced { body, tokens, origin }, end } = copied;
        let held = Held {
            version,
            body,
            tokens,
            origin,
            last_received: now,
            owner_missing_since: None,
            passed_to: None,
        };
        self.requests.insert(id, State::Held(held));
        self.note_owner_missing(now, id);
        self.finish_held(now, id, end, out);
        self.send_ack(from, id, version, out);
    }

    fn on_progress(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        added: AddedTokens,
        out: &mut Vec<Action>,
    ) {
        if self.report_passed_on(from, id, version, out) {
            return;
        }
        match self.requests.get_mut(&id) {
            Some(State::Held(held)) if held.version == version => {
                held.last_received = now;
                if added.first <= held.tokens.len() {
                    let known = held.tokens.len() - added.first;
                    held.origin = held.origin.take().or(added.origin);
                    held.tokens.extend(added.tokens.into_iter().skip(known));
                    self.finish_held(now, id, added.end, out);
                }
                self.send_ack(from, id, version, out);
            }
            Some(State::Tombstone(tombstone))
                if tombstone.final_tokens.is_some() && tombstone.version == version =>
            {
                self.send_ack(from, id, version, out);
            }
            Some(state) if version < state.version() => self.send_known_version(from, id, out),
            _ => out.push(Action::Send(from, Message::Missing { id, version })),
        }
    }

    // Tokens are shown to readers only once the holder has them. An owner that has lost the request
    // without knowing it gets no acknowledgement, so its readers see no text that differs from the
    // new owner's.
    fn on_ack(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        (count, ended): (usize, bool),
        out: &mut Vec<Action>,
    ) {
        self.drop_passed_copy(now, from, id, version);
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        if owned.version != version {
            return;
        }
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == from) else {
            return;
        };
        holder.has_copy = true;
        holder.in_flight_since = None;
        holder.undelivered = 0;
        if let Some((leaving, version)) = owned.leaving_holder.take() {
            out.push(Action::Send(leaving, Message::Drop { id, version }));
        }
        holder.acked = holder.acked.max(count.min(owned.tokens.len()));
        let acked = holder.acked;
        let all_acked = acked == owned.tokens.len() && (ended || owned.end.is_none());
        holder.awaiting_since = if all_acked { None } else { Some(now) };
        self.mark_settled(now, id, out);
        self.release(id, acked, out);
        if ended && all_acked {
            self.deliver_end(now, id, out);
            return;
        }
        self.flush(now, id, out);
    }

    // Once the new holder has acknowledged a copy that was passed on, the old copy is dropped, so
    // that only one of the two takes over.
    fn drop_passed_copy(&mut self, now: Stamp, from: Incarnation, id: RequestId, version: Version) {
        let Some(State::Held(held)) = self.requests.get(&id) else { return };
        if held.version != version || held.passed_to.is_none_or(|(to, _)| to != from) {
            return;
        }
        let tombstone =
            Tombstone { version, final_tokens: None, passed_to: Some(from), created_at: now };
        self.requests.insert(id, State::Tombstone(tombstone));
    }

    // If progress were acknowledged after the copy was passed on, the owner would show its readers
    // tokens that the peer with the copy never received, and that peer would continue differently.
    fn report_passed_on(
        &self,
        from: Incarnation,
        id: RequestId,
        version: Version,
        out: &mut Vec<Action>,
    ) -> bool {
        let (known, to) = match self.requests.get(&id) {
            Some(State::Held(held)) => (held.version, held.passed_to.map(|(to, _)| to)),
            Some(State::Tombstone(tombstone)) => (tombstone.version, tombstone.passed_to),
            Some(State::Owned(_)) | None => return false,
        };
        let Some(to) = to.filter(|_| known == version) else { return false };
        out.push(Action::Send(from, Message::PassedOn { id, version, to }));
        true
    }

    fn on_passed_on(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        to: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let is_current = owned.version == version && owned.handover.is_none();
        if !is_current || owned.holder.as_ref().is_none_or(|holder| holder.peer != from) {
            return;
        }
        owned.failed_holders.push(from);
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
        let Some(State::Owned(owned)) = self.requests.get_mut(&id) else { return };
        let Some(holder) = owned.holder.as_mut().filter(|holder| holder.peer == from) else {
            return;
        };
        if owned.version != version || !holder.has_copy {
            return;
        }
        holder.has_copy = false;
        holder.in_flight_since = None;
        self.flush(now, id, out);
    }

    fn on_offer(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        produced: Produced,
        out: &mut Vec<Action>,
    ) {
        if version.owner != self.own {
            return;
        }
        if let Some(state) = self.requests.get(&id) {
            let known = state.version();
            // The generation may have risen since the offer if the request is already owned here.
            let is_same = known.epoch == version.epoch && known.owner == version.owner;
            if is_same || version <= known {
                self.send_known_version(from, id, out);
                return;
            }
            if let State::Owned(_) = state {
                self.yield_to(now, id, version, out);
            }
        }
        out.push(produced.start(id, version));
        self.take_ownership(now, id, version, produced, Some(from), out);
    }

    fn on_claim(
        &mut self,
        now: Stamp,
        from: Incarnation,
        id: RequestId,
        version: Version,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            // The previous owner may still send a copy here; with the tombstone it is
            // answered with the new one.
            let tombstone =
                Tombstone { version, final_tokens: None, passed_to: None, created_at: now };
            self.requests.insert(id, State::Tombstone(tombstone));
            return;
        };
        let known = state.version();
        match state {
            State::Owned(owned) => {
                let is_handed_over =
                    owned.handover.as_ref().is_some_and(|it| it.version.epoch <= version.epoch);
                if known < version || is_handed_over {
                    self.yield_to(now, id, version, out);
                } else if known != version {
                    self.send_known_version(from, id, out);
                }
            }
            State::Held(_) if known < version => {
                let tombstone =
                    Tombstone { version, final_tokens: None, passed_to: None, created_at: now };
                self.requests.insert(id, State::Tombstone(tombstone));
            }
            State::Tombstone(tombstone) if known < version && tombstone.final_tokens.is_none() => {
                let tombstone =
                    Tombstone { version, final_tokens: None, passed_to: None, created_at: now };
                self.requests.insert(id, State::Tombstone(tombstone));
            }
            State::Held(_) | State::Tombstone(_) => {}
        }
    }

    fn on_ask(&self, from: Incarnation, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let is_needed = match self.requests.get(&id) {
            // The copy of an earlier holder is needed until the present holder has its own.
            Some(State::Owned(owned)) => {
                owned.holder.as_ref().is_none_or(|it| it.peer == from || !it.has_copy)
            }
            Some(State::Held(_) | State::Tombstone(_)) | None => false,
        };
        if !is_needed {
            out.push(Action::Send(from, Message::Drop { id, version }));
        }
    }

    fn finish_held(
        &mut self,
        now: Stamp,
        id: RequestId,
        end: Option<Bytes>,
        out: &mut Vec<Action>,
    ) {
        let Some(end) = end else { return };
        let Some(State::Held(held)) = self.requests.remove(&id) else { return };
        let Held { version, body, tokens, .. } = held;
        let tombstone = Tombstone {
            version,
            final_tokens: Some(tokens.len()),
            passed_to: None,
            created_at: now,
        };
        self.requests.insert(id, State::Tombstone(tombstone));
        out.push(Action::Keep { id, body, tokens, end });
    }

    fn send_ack(&self, to: Incarnation, id: RequestId, version: Version, out: &mut Vec<Action>) {
        let (count, ended) = match self.requests.get(&id) {
            Some(State::Held(held)) => (held.tokens.len(), false),
            Some(State::Tombstone(tombstone)) => {
                (tombstone.final_tokens.unwrap_or(0), tombstone.final_tokens.is_some())
            }
            Some(State::Owned(_)) | None => return,
        };
        out.push(Action::Send(to, Message::Ack { id, version, count, ended }));
    }

    // An owner whose request is not copied yet sends nothing: the sender may be the only other node
    // that still has the state.
    fn send_known_version(&self, to: Incarnation, id: RequestId, out: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else { return };
        if let State::Owned(owned) = state
            && owned.stage == Stage::Copying
        {
            return;
        }
        out.push(Action::Send(to, Message::Claim { id, version: state.version() }));
    }

    fn yield_to(&mut self, now: Stamp, id: RequestId, to: Version, out: &mut Vec<Action>) {
        let Some(State::Owned(owned)) = self.requests.get(&id) else { return };
        if owned.handover.is_none() {
            out.push(Action::Stop(id));
        }
        if let Some(holder) = &owned.holder
            && holder.peer != to.owner
        {
            let drop = Message::Drop { id, version: owned.version };
            out.push(Action::Send(holder.peer, drop));
        }
        out.push(Action::Moved(id, to.owner));
        self.requests.insert(
            id,
            State::Tombstone(Tombstone {
                version: to,
                final_tokens: None,
                passed_to: None,
                created_at: now,
            }),
        );
    }

    fn note_owner_missing(&mut self, now: Stamp, id: RequestId) {
        let Some(State::Held(held)) = self.requests.get_mut(&id) else { return };
        if !self.peers.contains(held.version.owner) {
            held.owner_missing_since = Some(now);
        }
    }
}

struct CopiedState {
    produced: Produced,
    end: Option<Bytes>,
}

struct AddedTokens {
    first: usize,
    tokens: Vec<String>,
    origin: Option<String>,
    end: Option<Bytes>,
}
