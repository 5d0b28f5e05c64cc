//! The report of the requests that were not answered in time.

use serde::Serialize;

use crate::account::{Cause, SkippedLines};

/// A `LossGroup` is the requests of one group that were lost to one cause.
///
/// The means are over those requests whose lines hold the value, in milliseconds; they are what the node decided by.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LossGroup {
    /// The team, route, second or node; empty if the losses are grouped by their causes only.
    pub group: String,
    /// The cause.
    pub cause: Cause,
    /// The number of requests.
    pub requests: u64,
    /// The mean expected wait.
    pub wait_ms: Option<f64>,
    /// The mean expected time to the first token.
    pub expected_ms: Option<f64>,
    /// The mean time to the first token.
    pub first_ms: Option<f64>,
    /// The mean retry delay that callers were given.
    pub after_ms: Option<f64>,
    /// The mean number of servers to choose from.
    pub candidates: Option<f64>,
    /// The mean age of the configuration.
    pub config_age_ms: Option<f64>,
}

/// A `LossReport` is the account of the losses in the logs of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LossReport {
    /// The requests that ended.
    pub ended: u64,
    /// Those that were answered in time, or whose routes have no target.
    pub in_time: u64,
    /// The others, by group and cause. Their numbers add up to `ended` less `in_time`.
    pub losses: Vec<LossGroup>,
    /// The lines that were not used.
    pub skipped: SkippedLines,
}
