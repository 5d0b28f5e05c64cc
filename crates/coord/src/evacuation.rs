//! Which responses' KV caches are moved off an engine whose VM is being reclaimed, and in which
//! order.

use std::{cmp::Reverse, time::Duration};

use bulrushhall_core::RequestId;

/// A `Movable` is a response in progress on an engine whose VM is being reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Movable {
    /// The request.
    pub id: RequestId,
    /// The tokens of the prompt and the response that the engine has computed.
    pub tokens: u32,
    /// How many of them another engine already has in its prefix cache.
    pub cached_elsewhere: u32,
}

/// `EvacuationOptions` are the costs of moving and of recomputing KV caches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// The bytes of KV cache for one token.
    pub bytes_per_token: u64,
    /// The bytes that can be moved in a second.
    pub move_per_second: u64,
    /// The tokens that an engine recomputes in a second.
    pub prefill_per_second: u32,
    /// The fixed time of each move.
    pub overhead: Duration,
    /// The time at the end of the notice that is reserved for resuming what was not moved.
    pub margin: Duration,
}

/// An `Evacuation` is the plan for the responses on one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// The responses whose caches are moved, one after the other in this order.
    pub moved: Vec<RequestId>,
    /// The responses that are resumed on another engine from the prompt and the emitted tokens.
    pub resumed: Vec<RequestId>,
}

impl Default for EvacuationOptions {
    fn default() -> Self {
        EvacuationOptions {
            bytes_per_token: 160 * 1024,
            move_per_second: 2_000_000_000,
            prefill_per_second: 8_000,
            overhead: Duration::from_millis(20),
            margin: Duration::from_secs(1),
        }
    }
}

impl Evacuation {
    /// Returns the plan for the time `left` of a notice: most recomputation saved per byte first.
    pub fn plan(
        left: Duration,
        mut responses: Vec<Movable>,
        options: &EvacuationOptions,
    ) -> Evacuation {
        // All responses of one model have the same bytes per token, so the share of the tokens that
        // no other engine has cached is proportional to the recomputation saved per byte.
        responses.sort_by_key(|it| (Reverse(share_saved(it)), Reverse(it.tokens), it.id));
        let mut left = left.saturating_sub(options.margin);
        let mut plan = Evacuation::default();
        for response in responses {
            let move_time = options.time_to_move(&response);
            if move_time <= left && move_time < options.time_to_recompute(&response) {
                left -= move_time;
                plan.moved.push(response.id);
                continue;
            }
            plan.resumed.push(response.id);
        }
        plan
    }
}

impl EvacuationOptions {
    /// Returns the time to move the cache of a response.
    pub fn time_to_move(&self, response: &Movable) -> Duration {
        let bytes = u64::from(response.tokens) * self.bytes_per_token;
        let micros = bytes.saturating_mul(1_000_000) / self.move_per_second.max(1);
        Duration::from_micros(micros) + self.overhead
    }

    /// Returns the time to recompute the tokens that no other engine has cached.
    pub fn time_to_recompute(&self, response: &Movable) -> Duration {
        let tokens = response.tokens.saturating_sub(response.cached_elsewhere);
        let micros = u64::from(tokens) * 1_000_000 / u64::from(self.prefill_per_second.max(1));
        Duration::from_micros(micros)
    }
}

// Returns the share in thousandths, so that the order does not depend on floating-point rounding.
fn share_saved(response: &Movable) -> u64 {
    let saved = u64::from(response.tokens.saturating_sub(response.cached_elsewhere));
    saved * 1_000 / u64::from(response.tokens.max(1))
}
