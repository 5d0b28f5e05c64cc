//! Accounting of in-flight requests at a backend server, from the send to the end of the response.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    observed::{FirstTokenSample, StreamSample},
    placement::WorkerKey,
};

use crate::{clock, gateway::Gateway};

/// A `Footprint` is the resources that a request uses at a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Its priority, 0 being the most urgent.
    pub rank: u8,
    /// The prompt tokens that the engine has to prefill.
    pub to_read: u32,
    /// The tokens that it occupies in the engine's KV cache.
    pub held: u32,
    /// The expected time to the first token, at an engine.
    pub expected: Option<Duration>,
    /// Whether it does not queue behind others and the number of tokens to prefill is known exactly.
    pub unqueued: bool,
}

/// An `Occupancy` counts a request as in flight at a backend server until it is dropped, whichever way
/// the request ends.
pub struct Occupancy {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    footprint: Footprint,
    began: bool,
    since: Stamp,
}

impl Occupancy {
    /// Counts a request that is about to be sent.
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

    /// Notes the first token, or the response of a plain service.
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

    /// Notes a complete stream whose events arrived `gap` apart.
    pub fn note_stream(&self, gap: Duration, events: u32, expected_tokens: u32) {
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get(self.key) else { return };
            let (running, service) = (backend.requests(now), backend.record.service.clone());
            let sample = StreamSample { running, gap, events, expected_tokens };
            state.observed(&service).engines.note_stream(sample);
        });
    }

    /// Notes the response of a plain service.
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
