//! What a request takes up at a backend server, from the send to the end of its answer.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    observed::{FirstTokenSample, StreamSample},
    placement::WorkerKey,
};

use crate::{clock, gateway::Gateway};

/// A `Footprint` is what a request takes up at a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Its rank of urgency.
    pub rank: u8,
    /// The prompt tokens that have to be read before its first token.
    pub to_read: u32,
    /// The tokens in the engine's memory.
    pub held: u32,
    /// The time until its first token that was expected, at an engine.
    pub expected: Option<Duration>,
    /// Whether nothing was there before it, and it is known what has to be read.
    pub unqueued: bool,
}

/// An `Occupancy` counts a request at a backend server until it is dropped, whichever way the
/// request ends.
pub struct Occupancy {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    footprint: Footprint,
    began: bool,
    since: Stamp,
}

impl Occupancy {
    /// Counts a request that is sent now.
    pub fn begin(gateway: &Arc<Gateway>, key: WorkerKey, footprint: Footprint) -> Occupancy {
        gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(key) else { return };
            backend.own.requests += 1;
            backend.own.waiting[usize::from(footprint.rank)] += footprint.to_read;
            backend.own.held += footprint.held;
        });
        let since = clock::now();
        Occupancy { gateway: Arc::clone(gateway), key, footprint, began: false, since }
    }

    /// Notes the first token, or the answer of a plain service.
    pub fn note_began(&mut self) {
        if self.began {
            return;
        }
        self.began = true;
        let took = clock::now().since(self.since);
        let Footprint { rank, to_read, expected, unqueued, .. } = self.footprint;
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            backend.own.waiting[usize::from(rank)] -= to_read;
            let Some(expected) = expected else { return };
            backend.note_first_token(expected, took);
            if unqueued {
                let service = backend.record.service.clone();
                let sample = FirstTokenSample { prefill_tokens: to_read, took };
                state.observed(&service).engines.note_first_token(sample);
            }
        });
    }

    /// Notes that a stream ended well, whose events came `gap` apart.
    pub fn note_stream(&self, gap: Duration, events: u32, expected_tokens: u32) {
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get(self.key) else { return };
            let (running, service) = (backend.requests(now), backend.record.service.clone());
            let sample = StreamSample { running, gap, events, expected_tokens };
            state.observed(&service).engines.note_stream(sample);
        });
    }

    /// Notes that a plain service has answered.
    pub fn note_call(&self) {
        let took = clock::now().since(self.since);
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get(self.key) else { return };
            let service = backend.record.service.clone();
            state.observed(&service).calls.note(took);
        });
    }
}

impl Drop for Occupancy {
    fn drop(&mut self) {
        let Footprint { rank, to_read, held, .. } = self.footprint;
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            backend.own.requests -= 1;
            backend.own.held -= held;
            if !self.began {
                backend.own.waiting[usize::from(rank)] -= to_read;
            }
        });
    }
}
