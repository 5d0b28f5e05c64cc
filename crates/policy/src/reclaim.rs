//! What to do with the requests of an engine whose VM is taken back.

use std::time::Duration;

/// `MoveOptions` are what moving and computing again cost.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveOptions {
    /// The bytes of KV cache for one token.
    pub bytes_per_token: u64,
    /// The bytes of KV cache that one engine can move in a second.
    pub bytes_per_second: u64,
    /// The tokens that an engine computes again in a second while it generates too.
    pub recompute_per_second: u32,
    /// The weight of recomputed tokens; at 1 a second of moving is worth one of computing.
    pub recomputed: f64,
    /// The part of the notice that is kept free for what goes wrong.
    pub safety: f64,
}

impl Default for MoveOptions {
    fn default() -> Self {
        MoveOptions {
            bytes_per_token: 160 * 1024,
            bytes_per_second: 2_000_000_000,
            recompute_per_second: 4_000,
            recomputed: 1.0,
            safety: 0.2,
        }
    }
}

/// A `RunningRequest` is one request on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRequest<K> {
    /// The request.
    pub key: K,
    /// The tokens of its prompt and of what was emitted.
    pub tokens: u32,
    /// Those of them that the engine it would go to holds already.
    pub cached_at_target: u32,
    /// The time that its answer still takes here, at most.
    pub remaining: Duration,
}

/// A `MoveDecision` is what happens to a request of an engine that is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// It ends here within the notice.
    Finish,
    /// Its KV cache is moved; the span is from the notice to the end of the move.
    Move(Duration),
    /// It goes on elsewhere and what is missing there is computed again.
    Resume,
}

/// Returns the fate of each request, in the order in which moves are to be made.
///
/// Requests that end within the notice stay. Of the others those go first whose move saves most
/// computing for each byte, as long as moving takes less than computing and the notice lasts.
pub fn plan_moves<K: Copy + Ord>(
    notice: Duration,
    running: &[RunningRequest<K>],
    options: &MoveOptions,
) -> Vec<(K, MoveDecision)> {
    let usable = notice.mul_f64(1.0 - options.safety);
    let mut plan = Vec::with_capacity(running.len());
    let mut to_move = Vec::new();
    for one in running {
        if one.remaining <= usable {
            plan.push((one.key, MoveDecision::Finish));
            continue;
        }
        to_move.push(one);
    }
    to_move.sort_by(|a, b| {
        saved_per_token(b)
            .total_cmp(&saved_per_token(a))
            .then(a.tokens.cmp(&b.tokens))
            .then(a.key.cmp(&b.key))
    });
    let mut spent = Duration::ZERO;
    let first_move = plan.len();
    for one in to_move {
        let move_time = options.move_time(one.tokens);
        let saved = options.recompute_time(one.tokens.saturating_sub(one.cached_at_target));
        let worth = move_time.as_secs_f64() < saved.as_secs_f64() * options.recomputed;
        if !worth || usable < spent + move_time {
            plan.push((one.key, MoveDecision::Resume));
            continue;
        }
        spent += move_time;
        plan.push((one.key, MoveDecision::Move(spent)));
    }
    // Moves are made as late as the notice allows: many answers are shorter than they may be and
    // end by themselves meanwhile, and each move costs the tokens of its last, unfinished block.
    for (_, fate) in &mut plan[first_move..] {
        if let MoveDecision::Move(end) = fate {
            *end += usable - spent;
        }
    }
    plan
}

impl MoveOptions {
    fn move_time(&self, tokens: u32) -> Duration {
        let bytes = u64::from(tokens) * self.bytes_per_token;
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1) as f64)
    }

    fn recompute_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.recompute_per_second.max(1)))
    }
}

fn saved_per_token<K>(one: &RunningRequest<K>) -> f64 {
    f64::from(one.tokens.saturating_sub(one.cached_at_target)) / f64::from(one.tokens.max(1))
}
