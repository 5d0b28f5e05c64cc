//! What a request takes up at a backend server, from the send to the end of its answer.

use std::{sync::Arc, time::Duration};

use bulrushhall_policy::placement::WorkerKey;

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
}

/// An `Occupancy` counts a request at a backend server until it is dropped, whichever way the
/// request ends.
pub struct Occupancy {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    footprint: Footprint,
    began: bool,
    since: bulrushhall_core::Stamp,
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
        let Footprint { rank, to_read, expected, .. } = self.footprint;
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            backend.own.waiting[usize::from(rank)] -= to_read;
            if let Some(expected) = expected {
                backend.note_first_token(expected, took);
            }
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
