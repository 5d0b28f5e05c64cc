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
        AnswerBegin, Fingerprint, InterruptedAnswer, Interruption, UnsettledAnswer,
        UnsettledRequest, note_interrupted,
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

    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Stamp {
        self.sent_at
    }

    /// Returns when the first bytes of the answer arrived, comments left out.
    pub fn began_at(&self) -> Option<Stamp> {
        self.began_at
    }

    /// Notes that the server closed the connection before the end of the answer.
    pub fn note_broken(&mut self) {
        self.is_settled = true;
        self.interrupt(Interruption::Closed, clock::now());
    }

    /// Notes that nothing of the answer has arrived since a moment. Engines with much work pause as well, and each check of a server
    /// costs a connection: one that answers later requests needs none, unless this node has not seen this one answered lately.
    pub fn note_stalled(&self, silent_since: Stamp) {
        let now = clock::now();
        let is_checked = self.gateway.with(|state| {
            let backend = state.backends.get(self.key);
            let is_answering = backend.is_some_and(|it| silent_since <= it.answered_sent_at);
            !is_answering || is_new(state, now, self.fingerprint.ids())
        });
        if is_checked {
            // Before its answer begins, it isn't known when the server has crashed.
            let at = if self.began_at.is_some() { silent_since } else { now };
            self.interrupt(Interruption::Stalled, at);
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

    fn interrupt(&self, interruption: Interruption, at: Stamp) {
        let answer = InterruptedAnswer { interruption, at, req: self.crashed(at) };
        note_interrupted(&self.gateway, (self.key, self.server), answer);
    }

    fn crashed(&self, at: Stamp) -> CrashedRequest {
        // Brittle servers fall by the number of requests, which may all be the same one.
        let is_brittle = self.gateway.with(|state| {
            let service = state.backends.get(self.key).map(|backend| &backend.record.service);
            service.is_some_and(|service| state.brittle.get(service).is_some())
        });
        CrashedRequest {
            request: self.attempt,
            age_ms: as_millis(at.since(self.sent_at)),
            begun_ms: self.began_at.map(|began_at| as_millis(at.since(began_at))),
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
        let (at, key, server) = (clock::now(), self.key, self.server);
        let req = self.crashed(at);
        self.gateway.with(|state| {
            let is_new = is_new(state, at, self.fingerprint.ids());
            let answer = match self.answer {
                UnsettledAnswer::Abandoned if !is_new => UnsettledAnswer::KnownAbandoned,
                UnsettledAnswer::Unmarked if !is_new => return,
                answer => answer,
            };
            state.crashes.unsettled.note(UnsettledRequest { key, server, req, at, answer });
        });
    }
}

fn is_new(state: &State, now: Stamp, ids: &[PartId]) -> bool {
    let outcomes = &state.crashes.watch.outcomes;
    ids.iter().any(|id| outcomes.sound(now, *id) == 0)
}
