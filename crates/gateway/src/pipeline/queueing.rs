//! Whether a request has to wait for an engine.

use std::time::Duration;

use bulrushhall_core::bounded_seconds;

use bulrushhall_policy::engine_choice::EngineChoice;

use crate::{
    adapter::Prompt,
    clock,
    demand::Offered,
    gateway::State,
    pipeline::{
        Failure,
        placement::{PlacementQuery, Way},
    },
    table::EngineSizes,
    waiting::exchange_interval,
};

/// A `Queueing` is whether a request may be queued if no engine can start it soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// It is placed or refused at once.
    Never,
    /// It has just arrived.
    Arriving,
    /// It was queued, and it is its turn.
    Started,
}

/// A `ShortRequest` is a request that no engine can start soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortRequest {
    /// Its work in tokens: those to prefill, and as many as could be prefilled in the time of its answer.
    pub work: u32,
    /// The time that an engine needs for its first event.
    pub service_time: Duration,
}

/// A `NotPlaced` is the reason why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotPlaced {
    /// It is refused.
    Refused(Failure),
    /// It has to wait.
    Short(ShortRequest),
}

impl From<Failure> for NotPlaced {
    fn from(failure: Failure) -> NotPlaced {
        NotPlaced::Refused(failure)
    }
}

impl PlacementQuery<'_> {
    // A request whose node has no way to the engines, or whose servers are brittle, is not queued: other rules
    // decide when it is sent.
    pub(super) fn effective_queueing(&self, state: &State) -> Queueing {
        let is_brittle = state.brittle.get(self.service).is_some();
        if self.way == Way::Carried || is_brittle { Queueing::Never } else { self.queueing }
    }

    // Queues the request if no engine of its service is left.
    pub(super) fn check_engines(
        &self,
        state: &mut State,
        sizes: EngineSizes,
        prompt: &Prompt,
    ) -> Result<(), NotPlaced> {
        let is_any_left = state.backends.accepting(self.service).next().is_some();
        if self.queueing == Queueing::Never || is_any_left || self.origin.is_some() {
            return Ok(());
        }
        if self.queueing == Queueing::Arriving {
            // Otherwise nothing would be ordered for requests that wait for the first engine.
            let (read, answer) = (f64::from(prompt.tokens), f64::from(prompt.answer()));
            let demand = state.demand.entry(self.service.clone()).or_default();
            demand.note(clock::now(), Offered { read, answer });
        }
        Err(NotPlaced::Short(self.short_request(state, sizes, prompt, prompt.tokens)))
    }

    // Queues the request if it would be queued at the engine for longer than one exchange, or if others are queued
    // that are at least as urgent: engines serve urgent requests first themselves.
    pub(super) fn check_shortage(
        &self,
        state: &mut State,
        sizes: EngineSizes,
        prompt: &Prompt,
        chosen: &EngineChoice,
    ) -> Result<(), NotPlaced> {
        let exchange = exchange_interval(state.relays.role);
        let is_short = match self.queueing {
            Queueing::Never => false,
            Queueing::Arriving => {
                exchange < chosen.wait || state.waiting.is_short(self.service, self.req.rank())
            }
            // What nodes grant each other may take up to two exchanges of an engine.
            Queueing::Started => exchange * 2 < chosen.wait,
        };
        if !is_short {
            return Ok(());
        }
        Err(NotPlaced::Short(self.short_request(state, sizes, prompt, chosen.prefill_tokens)))
    }

    fn short_request(
        &self,
        state: &mut State,
        sizes: EngineSizes,
        prompt: &Prompt,
        prefill_tokens: u32,
    ) -> ShortRequest {
        let model = state.observed(self.service).engines.model();
        let decode = model.decode_work_ms(f64::from(prompt.answer()), f64::from(sizes.slots));
        let decode_tokens = decode * model.prefill_tokens_per_ms();
        let first_ms = model.first.at(f64::from(prefill_tokens)).max(0.0);
        ShortRequest {
            work: (f64::from(prefill_tokens) + decode_tokens).max(1.0) as u32,
            service_time: bounded_seconds(first_ms / 1_000.0),
        }
    }
}
