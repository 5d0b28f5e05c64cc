//! Whether a request ends before the node that takes it does.

use std::time::Duration;

use bulrushhall_core::{ServiceName, bounded_seconds};

use crate::{
    adapter::Prompt,
    clock,
    gateway::{Gateway, Phase, State},
};

/// What an answer may take beyond its expected time, as a share of that.
const TOLERANCE: f64 = 0.1;
const MS_PER_S: f64 = 1_000.0;

/// A `Work` is what is known of the time of a request.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// Its prompt, at a service of engines.
    pub prompt: Option<&'a Prompt>,
    /// The expected time to the first byte.
    pub first: Duration,
    /// The time until its deadline.
    pub left: Duration,
}

/// Returns whether the answer to a request that is sent now is expected to end before the node cuts open answers; always
/// unless it is shutting down.
pub fn ends_in_time(gateway: &Gateway, work: Work<'_>) -> bool {
    if gateway.phase() == Phase::Serving {
        return true;
    }
    let Some(cut_at) = gateway.cut_at.get() else { return true };
    let expected = gateway.with(|state| expected_time(state, work));
    let expected = expected.mul_f64(1.0 + TOLERANCE).min(work.left);
    clock::now() + expected <= *cut_at
}

fn expected_time(state: &mut State, work: Work<'_>) -> Duration {
    let observed = state.observed(work.service);
    match work.prompt {
        Some(prompt) => {
            let answer = observed.engines.model().decode_ms(f64::from(prompt.answer()), 1.0);
            work.first + bounded_seconds(answer / MS_PER_S)
        }
        None => observed.calls.longest().unwrap_or_default().max(work.first),
    }
}
