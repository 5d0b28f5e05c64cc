//! One log line about the end of a request.

use serde::Deserialize;

/// An `EndedCall` holds the fields of log event 220 that tell how a request ended, and why.
///
/// Times are in milliseconds. Fields that a node of an earlier version does not write are none.
#[derive(Clone, Debug, Deserialize)]
pub struct EndedCall {
    /// When the line was written, as RFC 3339 text.
    #[serde(default)]
    pub timestamp: String,
    /// The route; empty if none matched.
    #[serde(default)]
    pub route: String,
    /// The team; empty if the request has none.
    #[serde(default)]
    pub team: String,
    /// How it ended.
    pub outcome: String,
    /// The number of times that it was sent to a backend server.
    #[serde(default)]
    pub sends: u32,
    /// The time from its arrival to the first byte of the answer.
    #[serde(default)]
    pub first_ms: Option<f64>,
    /// The expected wait behind other requests, at its last placement.
    #[serde(default)]
    pub wait_ms: Option<f64>,
    /// The expected time to the first token, at its last placement.
    #[serde(default)]
    pub expected_ms: Option<f64>,
    /// The target latency of its route.
    #[serde(default)]
    pub target_ms: Option<f64>,
    /// The longest gap between two events of its stream.
    #[serde(default)]
    pub longest_gap_ms: Option<f64>,
    /// The longest gap between two events that its route allows.
    #[serde(default)]
    pub target_gap_ms: Option<f64>,
    /// The number of servers that it could be placed on.
    #[serde(default)]
    pub candidates: u64,
    /// The retry delay that the caller was given.
    #[serde(default)]
    pub after_ms: Option<f64>,
    /// The age of the configuration that it was handled by.
    #[serde(default)]
    pub config_age_ms: Option<f64>,
}

impl EndedCall {
    /// Returns the second of the log line, which is its timestamp without the fraction.
    pub fn second(&self) -> &str {
        self.timestamp.split(['.', 'Z']).next().unwrap_or_default()
    }
}
