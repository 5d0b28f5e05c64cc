//! Which answers' KV cache is moved off an engine whose VM is taken back, and in which order.

use std::{cmp::Reverse, time::Duration};

use bulrushhall_core::RequestId;

/// A `Movable` is an answer that runs on an engine whose VM is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Movable {
    /// The request.
    pub id: RequestId,
    /// The tokens of prompt and answer that the engine has computed.
    pub tokens: u32,
    /// How many of them another engine has in its cache anyway.
    pub cached_elsewhere: u32,
}

/// `EvacuationOptions` tell what moving and recomputing cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOptions {
    /// The bytes of KV cache for one token.
    pub bytes_per_token: u64,
    /// The bytes that can be moved in a second.
    pub move_per_second: u64,
    /// The tokens that an engine computes anew in a second.
    pub prefill_per_second: u32,
    /// What each move costs beside its bytes.
    pub overhead: Duration,
    /// The end of the notice that is left for resuming what was not moved.
    pub margin: Duration,
}

/// An `Evacuation` is what is done with the answers on one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// The answers whose cache is moved, one after the other in this order.
    pub moved: Vec<RequestId>,
    /// The answers that are resumed elsewhere with prompt and emitted tokens.
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
    /// Plans the time `left` of a notice: most recompute saved per byte first.
    pub fn plan(
        left: Duration,
        mut answers: Vec<Movable>,
        options: &EvacuationOptions,
    ) -> Evacuation {
        // All answers of one model have the same bytes for a token, so that the share of tokens
        // that no other engine has is the recompute saved per byte.
        answers.sort_by_key(|it| (Reverse(share_saved(it)), Reverse(it.tokens), it.id));
        let mut left = left.saturating_sub(options.margin);
        let mut plan = Evacuation::default();
        for answer in answers {
            let moving = options.time_to_move(&answer);
            if moving <= left && moving < options.time_to_recompute(&answer) {
                left -= moving;
                plan.moved.push(answer.id);
                continue;
            }
            plan.resumed.push(answer.id);
        }
        plan
    }
}

impl EvacuationOptions {
    /// Returns the time to move an answer's cache.
    pub fn time_to_move(&self, answer: &Movable) -> Duration {
        let bytes = u64::from(answer.tokens) * self.bytes_per_token;
        let micros = bytes.saturating_mul(1_000_000) / self.move_per_second.max(1);
        Duration::from_micros(micros) + self.overhead
    }

    /// Returns the time to compute anew what no other engine has.
    pub fn time_to_recompute(&self, answer: &Movable) -> Duration {
        let tokens = answer.tokens.saturating_sub(answer.cached_elsewhere);
        let micros = u64::from(tokens) * 1_000_000 / u64::from(self.prefill_per_second.max(1));
        Duration::from_micros(micros)
    }
}

// In thousandths, so that the order does not hang on rounding of floating-point numbers.
fn share_saved(answer: &Movable) -> u64 {
    let saved = u64::from(answer.tokens.saturating_sub(answer.cached_elsewhere));
    saved * 1_000 / u64::from(answer.tokens.max(1))
}
