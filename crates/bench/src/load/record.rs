//! Records of what a caller observed of a request.

use std::time::Duration;

use bulrushhall_core::Ran;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// A `Kind` is a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An urgent request to a model, read as a stream.
    Chat,
    /// A deferrable request to a model: submitted first, read later.
    Patient,
    /// A call to a plain service that may run at most once.
    Order,
    /// An idempotent call to a plain service.
    Lookup,
}

/// A `Phase` is the part of the run in which a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The warm-up, which is excluded from the results.
    WarmUp,
    /// The part that is included in the results.
    Measured,
}

/// An `Outcome` is how a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The whole answer was received.
    Finished,
    /// It was refused before it was accepted.
    Refused,
    /// It was accepted and ended with an error.
    Failed,
    /// Its caller abandoned it before it ended.
    #[default]
    Cut,
}

/// A `Record` is what a caller observed of one request, including retries and reconnects.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The number in the plan.
    pub number: usize,
    /// The kind of request.
    pub kind: Kind,
    /// The request class.
    pub class: String,
    /// The team of the caller.
    pub team: String,
    /// Whether the request is included in the results.
    pub phase: Phase,
    /// When the request was planned to be sent, from the start of the run.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub planned: Duration,
    /// When the request ended for its caller, from the start of the run.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub ended: Duration,
    /// The id that the system assigned to it.
    pub request: Option<String>,
    /// Whether the system accepted it.
    pub accepted: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it may have run, as far as the responses say.
    pub ran: Ran,
    /// The last error code.
    pub code: Option<String>,
    /// The time from the planned send time to the first token.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub first_token: Option<Duration>,
    /// The times between tokens.
    #[serde_as(as = "Vec<DurationMicroSeconds<u64>>")]
    pub gaps: Vec<Duration>,
    /// The prompt, or the path of a call to a plain service.
    pub prompt: String,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// The answer's text.
    pub text: String,
    /// The number of duplicate events.
    pub duplicated: u32,
    /// The number of missing events.
    pub skipped: u32,
    /// How often the stream was interrupted and resumed.
    pub reconnects: u32,
    /// How often a stopping node redirected the stream to another entry.
    pub moves: u32,
    /// How often the system refused the request.
    pub refusals: u32,
    /// How often the request was retried.
    pub retries: u32,
    /// The idempotency key of a call that may run at most once.
    pub key: Option<String>,
}
