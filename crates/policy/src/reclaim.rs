//! The handling of requests on an engine whose VM is reclaimed.

use std::time::Duration;

use bulrushhall_core::bounded_seconds;

/// `MoveOptions` are the costs of moving and of recomputing requests.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveOptions {
    /// The KV cache size of a token, in bytes.
    pub bytes_per_token: u64,
    /// The KV cache transfer rate of an engine, in bytes per second.
    pub bytes_per_second: u64,
    /// The tokens that an engine recomputes per second while it also generates.
    pub recompute_per_second: u32,
    /// The weight of recomputed tokens; at 1 a second of transfer costs as much as a second of
    /// computing.
    pub recomputed: f64,
    /// The share of the notice period that is kept as a safety margin.
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

/// A `RunningRequest` is a request that runs on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRequest<K> {
    /// The key of the request.
    pub key: K,
    /// The tokens of the prompt and of the emitted output.
    pub tokens: u32,
    /// Those of the tokens that the target engine already caches.
    pub cached_at_target: u32,
    /// The maximum time that its answer still takes here.
    pub remaining: Duration,
}

/// A `MoveDecision` is what happens to a request when its engine is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// It finishes here within the notice period.
    Finish,
    /// Its KV cache is moved; the duration is from the notice to the end of the move.
    Move(Duration),
    /// It resumes on another engine, which recomputes the missing tokens.
    Resume,
}

/// Returns the decision for each request, in the order in which the moves are to be made.
///
/// Requests that finish within the notice period stay. The others are moved in descending order of
/// the recomputation saved per byte, while a move is cheaper than the recomputation and the notice
/// period suffices.
pub fn plan_moves<K: Copy + Ord>(
    notice: Duration,
    running: &[RunningRequest<K>],
    options: &MoveOptions,
) -> Vec<(K, MoveDecision)> {
    let usable_notice = notice.mul_f64(1.0 - options.safety);
    let mut plan = Vec::with_capacity(running.len());
    let mut to_move = Vec::new();
    for request in running {
        if request.remaining <= usable_notice {
            plan.push((request.key, MoveDecision::Finish));
            continue;
        }
        to_move.push(request);
    }
    to_move.sort_by(|a, b| {
        saved_per_token(b)
            .total_cmp(&saved_per_token(a))
            .then(a.tokens.cmp(&b.tokens))
            .then(a.key.cmp(&b.key))
    });
    let mut elapsed = Duration::ZERO;
    let first_move = plan.len();
    for request in to_move {
        let move_time = options.move_time(request.tokens);
        let saved = options.recompute_time(request.tokens.saturating_sub(request.cached_at_target));
        let is_worthwhile = move_time.as_secs_f64() < saved.as_secs_f64() * options.recomputed;
        if !is_worthwhile || usable_notice < elapsed + move_time {
            plan.push((request.key, MoveDecision::Resume));
            continue;
        }
        elapsed += move_time;
        plan.push((request.key, MoveDecision::Move(elapsed)));
    }
    // Moves are made as late as the notice period allows: many answers end before their maximum
    // length and need no move then, and each move loses the tokens of its last, incomplete block.
    for (_, decision) in &mut plan[first_move..] {
        if let MoveDecision::Move(end) = decision {
            *end += usable_notice - elapsed;
        }
    }
    plan
}

impl MoveOptions {
    fn move_time(&self, tokens: u32) -> Duration {
        let bytes = u64::from(tokens) * self.bytes_per_token;
        bounded_seconds(bytes as f64 / self.bytes_per_second.max(1) as f64)
    }

    fn recompute_time(&self, tokens: u32) -> Duration {
        bounded_seconds(f64::from(tokens) / f64::from(self.recompute_per_second.max(1)))
    }
}

fn saved_per_token<K>(request: &RunningRequest<K>) -> f64 {
    f64::from(request.tokens.saturating_sub(request.cached_at_target))
        / f64::from(request.tokens.max(1))
}
