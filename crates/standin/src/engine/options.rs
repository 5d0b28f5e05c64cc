//! What a stand-in engine costs in time and memory.

use std::time::Duration;

use bulrushhall_external::engine::EngineRole;

/// `EngineOptions` are the cost model of a stand-in engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// The tokens of prompts that are computed in a second.
    pub prefill_per_second: u32,
    /// The most prompt tokens that are computed in one step.
    pub prefill_chunk: u32,
    /// The time of a step that computes nothing else.
    pub step_base: Duration,
    /// The time that each answer in the batch adds to a step.
    pub step_per_answer: Duration,
    /// The most answers in the batch.
    pub batch: usize,
    /// The tokens that the prefix cache holds.
    pub cache_tokens: u32,
    /// The bytes of KV cache for one token.
    pub bytes_per_token: u64,
    /// The bytes of KV cache that can be moved in a second.
    pub move_per_second: u64,
    /// How far a load report lags behind.
    pub report_lag: Duration,
    /// How far cache events lag behind.
    pub event_lag: Duration,
    /// The share of cache events that are lost.
    pub event_loss: f64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fence: bool,
    /// How much faster than real time the engine runs.
    pub speed: f64,
    /// The part of the work that the engine does at first.
    pub role: EngineRole,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            prefill_per_second: 8_000,
            prefill_chunk: 512,
            step_base: Duration::from_millis(12),
            step_per_answer: Duration::from_micros(400),
            batch: 32,
            cache_tokens: 200_000,
            bytes_per_token: 160 * 1024,
            move_per_second: 2_000_000_000,
            report_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(800),
            event_loss: 0.05,
            checks_fence: false,
            speed: 1.0,
            role: EngineRole::Both,
        }
    }
}
