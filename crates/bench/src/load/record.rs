//! What one caller saw of one request.

use std::time::Duration;

use bulrushhall_core::Ran;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// A `Kind` is what a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An urgent question to a model, read as a stream.
    Chat,
    /// Work that can wait: submitted first, read later.
    Patient,
    /// A call that may run at most once.
    Order,
    /// An idempotent call.
    Lookup,
}

/// A `Phase` tells whether a request counts in the figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It does not.
    WarmUp,
    /// It does.
    Measured,
}

/// An `Outcome` is how a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The end of the answer was seen.
    Finished,
    /// It was refused before it was accepted.
    Refused,
    /// It was accepted and ended with an error.
    Failed,
    /// Its caller gave up before it saw an end.
    #[default]
    Cut,
}

/// A `Record` is what one caller saw of one request, retries and reconnects included.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The number in the plan.
    pub number: usize,
    /// What was asked for.
    pub kind: Kind,
    /// The class that was named.
    pub class: String,
    /// The team of the caller.
    pub team: String,
    /// Whether the request counts in the figures.
    pub phase: Phase,
    /// When the request was to be sent, from the start of the run.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub planned: Duration,
    /// When the caller was done with it, from the start of the run.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub ended: Duration,
    /// The id that the system gave to it.
    pub request: Option<String>,
    /// Whether the system accepted it.
    pub accepted: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it may have run, as the last answer says.
    pub ran: Ran,
    /// The code of the last error.
    pub code: Option<String>,
    /// The time from the planned sending to the first token.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub first_token: Option<Duration>,
    /// The times between tokens.
    #[serde_as(as = "Vec<DurationMicroSeconds<u64>>")]
    pub gaps: Vec<Duration>,
    /// The prompt, or the path of a call to a plain service.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The answer's text.
    pub text: String,
    /// The events that came a second time.
    pub duplicated: u32,
    /// The events that were left out.
    pub skipped: u32,
    /// How often the stream was cut and taken up again.
    pub reconnects: u32,
    /// How often a node that was stopping told where the stream goes on.
    pub moves: u32,
    /// How often the system refused the request.
    pub refusals: u32,
    /// How often the request was sent anew.
    pub retries: u32,
    /// The key of a call that may run at most once.
    pub key: Option<String>,
}
