//! A prompt at a backend server, from its send to the end of its answer.

use std::sync::Arc;

use bulrushhall_coord::crashes::{CrashedRequest, PartId};
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    adapter::Prompt,
    clock,
    cluster::as_millis,
    crashes::{Interruption, UnsettledAnswer, UnsettledPrompt, note_interrupted},
    gateway::{Gateway, State},
};

/// A `SentPrompt` is a prompt at a backend server. If it is dropped without a note of how its answer ended, its caller has
/// left, or gave up waiting: whether the server crashes under it will be known by other answers only.
pub struct SentPrompt {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    server: u64,
    request: u64,
    parts: Vec<PartId>,
    sent_at: Stamp,
    began_at: Option<Stamp>,
    answer: UnsettledAnswer,
    is_settled: bool,
}

impl SentPrompt {
    /// Returns a prompt that is about to be sent to a server; none if it has no part that other prompts have too.
    pub fn begin(
        gateway: &Arc<Gateway>,
        (key, name, born): (WorkerKey, &str, Option<u64>),
        id: &str,
        prompt: &Prompt,
    ) -> Option<SentPrompt> {
        let parts: Vec<PartId> = prompt.common_parts().collect();
        if parts.is_empty() {
            return None;
        }
        Some(SentPrompt {
            gateway: Arc::clone(gateway),
            key,
            server: xxh3_64_with_seed(name.as_bytes(), born.unwrap_or_default()),
            request: xxh3_64(id.as_bytes()),
            parts,
            sent_at: clock::now(),
            began_at: None,
            answer: UnsettledAnswer::Abandoned,
            is_settled: false,
        })
    }

    /// Notes that bytes of the answer have arrived.
    pub fn note_began(&mut self) {
        self.began_at.get_or_insert_with(clock::now);
    }

    /// Returns when the first bytes of the answer arrived.
    pub fn began_at(&self) -> Option<Stamp> {
        self.began_at
    }

    /// Notes that the server closed the connection before the end of the answer.
    pub fn note_broken(&mut self) {
        self.is_settled = true;
        self.interrupt(Interruption::Closed);
    }

    /// Notes that nothing more of the answer arrives. Engines with much work pause as well, and each check of a server costs a
    /// connection, so only parts count of which this node has seen no sound answer lately.
    pub fn note_stalled(&self) {
        let (now, parts) = (clock::now(), &self.parts);
        if self.gateway.with(|state| has_new_part(state, now, parts)) {
            self.interrupt(Interruption::Stalled);
        }
    }

    /// Notes that the answer ended with its connection, without a mark of its end.
    pub fn note_unmarked(&mut self) {
        self.answer = UnsettledAnswer::Unmarked;
    }

    /// Notes that the server answered, or did not run the request.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    fn interrupt(&self, interruption: Interruption) {
        note_interrupted(&self.gateway, (self.key, self.server), interruption, self.crashed());
    }

    fn crashed(&self) -> CrashedRequest {
        let now = clock::now();
        CrashedRequest {
            request: self.request,
            age_ms: as_millis(now.since(self.sent_at)),
            begun_ms: self.began_at.map(|at| as_millis(now.since(at))),
            parts: self.parts.clone(),
        }
    }
}

impl Drop for SentPrompt {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let (at, key, server, req) = (clock::now(), self.key, self.server, self.crashed());
        let answer = self.answer;
        self.gateway.with(|state| {
            if has_new_part(state, at, &self.parts) {
                state.crashes.unsettled.note(UnsettledPrompt { key, server, req, at, answer });
            }
        });
    }
}

fn has_new_part(state: &State, now: Stamp, parts: &[PartId]) -> bool {
    let outcomes = &state.crashes.watch.outcomes;
    parts.iter().any(|part| outcomes.sound(now, *part) == 0)
}
