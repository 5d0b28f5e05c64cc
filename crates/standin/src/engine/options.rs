//! The cost model of a simulated engine.

use std::time::Duration;

use bulrushhall_external::engine::EngineRole;

/// `EngineOptions` are the time and memory costs and the behavior of a simulated engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// The number of prompt tokens that are computed per second.
    pub prefill_per_second: u32,
    /// The maximum number of prompt tokens that are computed in one step.
    pub prefill_chunk: u32,
    /// The base duration of a step.
    pub step_base: Duration,
    /// The time that each response in the batch adds to a step.
    pub step_per_answer: Duration,
    /// The maximum number of responses in the batch.
    pub batch: usize,
    /// The capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// The size of the KV cache of one token, in bytes.
    pub bytes_per_token: u64,
    /// The number of bytes of KV cache that can be exported per second.
    pub move_per_second: u64,
    /// The delay after which a load becomes visible in reports.
    pub report_lag: Duration,
    /// The delay after which a cache event becomes visible.
    pub event_lag: Duration,
    /// The probability that a cache event is lost.
    pub event_loss: f64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fence: bool,
    /// The factor by which the engine runs faster than real time.
    pub speed: f64,
    /// The initial role of the engine.
    pub role: EngineRole,
    /// The version of its software.
    pub version: String,
    /// The text that crashes the engine if a prompt contains it.
    pub crash_text: Option<String>,
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
            version: String::new(),
            crash_text: None,
        }
    }
}
