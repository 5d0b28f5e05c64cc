//! A request at a backend server, from its send to the end of its answer.

use std::sync::Arc;

use bulrushhall_coord::crashes::{CrashedRequest, PartId};
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    clock,
    cluster::as_millis,
    crashes::{
        AnswerBegin, Fingerprint, Interruption, UnsettledAnswer, UnsettledRequest, note_interrupted,
    },
    gateway::{Gateway, State},
};

/// A `SentRequest` is a request at a backend server. If it is dropped without a note of how its answer ended, its caller has
/// left, or gave up waiting: whether the server crashes under it will be known by other answers only.
pub struct SentRequest {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    server: u64,
    attempt: u64,
    fingerprint: Arc<Fingerprint>,
    sent_at: Stamp,
    began_at: Option<Stamp>,
    begin: AnswerBegin,
    answer: UnsettledAnswer,
    is_settled: bool,
}

/// Returns the hash by which nodes tell the starts of backend servers apart.
pub fn server_hash(name: &str, born: Option<u64>) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), born.unwrap_or_default())
}

impl SentRequest {
    /// Returns a request that is about to be sent to a server; `id` is that of the caller's attempt.
    pub fn begin(
        gateway: &Arc<Gateway>,
        (key, name, born): (WorkerKey, &str, Option<u64>),
        id: &str,
        fingerprint: &Arc<Fingerprint>,
    ) -> SentRequest {
        SentRequest {
            gateway: Arc::clone(gateway),
            key,
            server: server_hash(name, born),
            attempt: xxh3_64(id.as_bytes()),
            fingerprint: Arc::clone(fingerprint),
            sent_at: clock::now(),
            began_at: None,
            begin: AnswerBegin::default(),
            answer: UnsettledAnswer::Abandoned,
            is_settled: false,
        }
    }

    /// Notes bytes of the body that have arrived.
    pub fn note_bytes(&mut self, bytes: &[u8]) {
        if self.began_at.is_none() && self.begin.note(bytes) {
            self.began_at = Some(clock::now());
        }
    }

    /// Returns when the first bytes of the answer arrived, comments left out.
    pub fn began_at(&self) -> Option<Stamp> {
        self.began_at
    }

    /// Notes that the server closed the connection before the end of the answer.
    pub fn note_broken(&mut self) {
        self.is_settled = true;
        self.interrupt(Interruption::Closed);
    }

    /// Notes that nothing more of the answer arrives. Engines with much work pause as well, and each check of a server costs a
    /// connection, so only requests count that this node has not seen answered lately.
    pub fn note_stalled(&self) {
        let now = clock::now();
        if self.gateway.with(|state| is_new(state, now, self.fingerprint.ids())) {
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
        // Brittle servers fall by the number of requests, which may all be the same one.
        let is_brittle = self.gateway.with(|state| {
            let service = state.backends.get(self.key).map(|backend| &backend.record.service);
            service.is_some_and(|service| state.brittle.get(service).is_some())
        });
        CrashedRequest {
            request: self.attempt,
            age_ms: as_millis(now.since(self.sent_at)),
            begun_ms: self.began_at.map(|at| as_millis(now.since(at))),
            parts: self.fingerprint.parts().to_vec(),
            digest: (!is_brittle).then(|| self.fingerprint.digest()),
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let (at, key, server, req) = (clock::now(), self.key, self.server, self.crashed());
        let answer = self.answer;
        self.gateway.with(|state| {
            if is_new(state, at, self.fingerprint.ids()) {
                state.crashes.unsettled.note(UnsettledRequest { key, server, req, at, answer });
            }
        });
    }
}

fn is_new(state: &State, now: Stamp, ids: &[PartId]) -> bool {
    let outcomes = &state.crashes.watch.outcomes;
    ids.iter().any(|id| outcomes.sound(now, *id) == 0)
}
