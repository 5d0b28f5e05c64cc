//! Why a request ends without a backend server's answer, and what its caller is told.

use std::time::Duration;

use bulrushhall_core::Ran;
use hyper::StatusCode;

use crate::adapter::{CallProblem, Refusal};

/// How long a caller is told to wait where nothing tells when it may be better.
const AFTER_UNKNOWN: Duration = Duration::from_millis(500);
/// How long a caller is told to wait who came to a node on its way to the stop: the next node takes
/// it at once.
const AFTER_LEAVING: Duration = Duration::from_millis(50);

/// A `Failure` is the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The head could not be understood.
    Malformed(CallProblem),
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive.
    BodyLost,
    /// No configuration is known yet, or it may be too old for this request.
    ConfigUnknown,
    /// No route takes it.
    NoRoute,
    /// No team has its key.
    UnknownKey,
    /// Its team is over its limit for so long.
    OverQuota(Duration),
    /// The wait would be too long; it would be shorter after so long.
    Overloaded(Duration),
    /// No backend server takes work.
    NoBackend,
    /// The node is on its way to the stop.
    Leaving,
    /// Each backend server that got it says that it did not run it, and no more may get it.
    Rejected,
    /// A backend server may have run it, and its answer is lost.
    Lost,
    /// The time is over.
    Late(Ran),
}

impl Failure {
    /// Returns the word for it in logs.
    pub fn word(self) -> &'static str {
        match self {
            Failure::Malformed(_) => "malformed",
            Failure::HeadTooLarge => "head_too_large",
            Failure::TooLarge => "too_large",
            Failure::BodyLost => "body_lost",
            Failure::ConfigUnknown => "config_unknown",
            Failure::NoRoute => "no_route",
            Failure::UnknownKey => "unknown_key",
            Failure::OverQuota(_) => "over_quota",
            Failure::Overloaded(_) => "overloaded",
            Failure::NoBackend => "no_backend",
            Failure::Leaving => "leaving",
            Failure::Rejected => "rejected",
            Failure::Lost => "lost",
            Failure::Late(_) => "late",
        }
    }

    /// Returns what the caller is told.
    ///
    /// The statuses 408, 421, 429 and 503 promise that the request was not run and never will be;
    /// a caller sends an order again after them. Where anything was sent that is not known to have
    /// been refused, the answer is one that promises nothing.
    pub fn refusal(self) -> Refusal {
        let (status, after) = match self {
            Failure::Malformed(_) => (StatusCode::BAD_REQUEST, None),
            Failure::HeadTooLarge => (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None),
            Failure::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Failure::BodyLost => (StatusCode::BAD_REQUEST, None),
            Failure::NoRoute => (StatusCode::NOT_FOUND, None),
            Failure::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Failure::OverQuota(after) => (StatusCode::TOO_MANY_REQUESTS, Some(after)),
            Failure::Overloaded(after) => (StatusCode::SERVICE_UNAVAILABLE, Some(after)),
            Failure::ConfigUnknown | Failure::NoBackend | Failure::Rejected => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(AFTER_UNKNOWN))
            }
            Failure::Leaving => (StatusCode::SERVICE_UNAVAILABLE, Some(AFTER_LEAVING)),
            Failure::Late(Ran::No) => (StatusCode::SERVICE_UNAVAILABLE, Some(AFTER_UNKNOWN)),
            Failure::Late(_) => (StatusCode::GATEWAY_TIMEOUT, None),
            Failure::Lost => (StatusCode::BAD_GATEWAY, None),
        };
        Refusal { status, after }
    }
}
