//! Why a request ends without a backend server's response, and the response that its caller gets instead.

use std::time::Duration;

use bulrushhall_core::Ran;
use hyper::StatusCode;

use crate::adapter::{CallProblem, Refusal};

/// The retry delay that a caller is given when nothing indicates when a retry may succeed.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(500);
/// The retry delay that a caller is given by a node that is shutting down: another node takes the
/// request at once.
const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(50);

/// The retry delay that a caller is given whose request crashes backend servers.
const RETRY_AFTER_BLOCKED: Duration = Duration::from_secs(30);

/// A `Failure` is the reason why a request ends without a backend server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The head is malformed.
    Malformed(CallProblem),
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The connection was closed before the whole body arrived.
    BodyLost,
    /// No configuration is known yet, or the known one may be too old for this request.
    ConfigUnknown,
    /// No route matches it.
    NoRoute,
    /// No team has its key.
    UnknownKey,
    /// The node has no room for its body.
    NoMemory,
    /// Its team is over its limit; a retry may succeed after this time.
    OverQuota(Duration),
    /// The queueing time would be too long; a retry may succeed after this time.
    Overloaded(Duration),
    /// The backend servers accept no request now; a retry may succeed after this time.
    ServersLimited(Duration),
    /// No backend server accepts work.
    NoBackend,
    /// It resumes a stream, and it is not known at which version that began.
    StreamUnknown,
    /// It continues a stream, and no backend server of the version that the stream began at accepts work.
    VersionUnavailable,
    /// A part of its prompt crashes backend servers.
    PartBlocked,
    /// It crashes backend servers.
    RequestBlocked,
    /// The node is shutting down.
    Leaving,
    /// No backend server that got it ran it, and it may not be sent to another one.
    Rejected,
    /// A backend server may have run it, and its response is lost.
    ResponseLost,
    /// The deadline has passed.
    TimedOut(Ran),
}

impl Failure {
    /// Returns its label in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Failure::Malformed(_) => "malformed",
            Failure::HeadTooLarge => "head_too_large",
            Failure::BodyTooLarge => "too_large",
            Failure::BodyLost => "body_lost",
            Failure::NoMemory => "no_memory",
            Failure::ConfigUnknown => "config_unknown",
            Failure::NoRoute => "no_route",
            Failure::UnknownKey => "unknown_key",
            Failure::OverQuota(_) => "over_quota",
            Failure::Overloaded(_) => "overloaded",
            Failure::ServersLimited(_) => "servers_limited",
            Failure::NoBackend => "no_backend",
            Failure::StreamUnknown => "stream_unknown",
            Failure::VersionUnavailable => "version_unavailable",
            Failure::PartBlocked => "part_blocked",
            Failure::RequestBlocked => "request_blocked",
            Failure::Leaving => "leaving",
            Failure::Rejected => "rejected",
            Failure::ResponseLost => "lost",
            Failure::TimedOut(_) => "late",
        }
    }

    /// Returns the reason in words, for callers who can do something about it.
    pub fn reason(self) -> Option<&'static str> {
        match self {
            Failure::PartBlocked => Some("backend servers crash under a part of this prompt\n"),
            Failure::RequestBlocked => Some("backend servers crash under this request\n"),
            _ => None,
        }
    }

    /// Returns the response that the caller gets.
    ///
    /// The statuses 408, 421, 429 and 503 guarantee that the request was not run and never will be, so
    /// a caller repeats even a non-idempotent request after them. If it was sent to a backend server
    /// that is not known to have refused it, the status is one without this guarantee.
    pub fn refusal(self) -> Refusal {
        let (status, after) = match self {
            Failure::Malformed(_) => (StatusCode::BAD_REQUEST, None),
            Failure::HeadTooLarge => (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, None),
            Failure::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Failure::BodyLost => (StatusCode::BAD_REQUEST, None),
            Failure::NoRoute => (StatusCode::NOT_FOUND, None),
            Failure::UnknownKey => (StatusCode::UNAUTHORIZED, None),
            Failure::OverQuota(after) => (StatusCode::TOO_MANY_REQUESTS, Some(after)),
            Failure::Overloaded(after) | Failure::ServersLimited(after) => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(after))
            }
            Failure::ConfigUnknown
            | Failure::NoMemory
            | Failure::NoBackend
            | Failure::StreamUnknown
            | Failure::VersionUnavailable
            | Failure::Rejected => (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_UNKNOWN)),
            Failure::PartBlocked | Failure::RequestBlocked => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_BLOCKED))
            }
            Failure::Leaving => (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_LEAVING)),
            Failure::TimedOut(Ran::No) => {
                (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_UNKNOWN))
            }
            Failure::TimedOut(_) => (StatusCode::GATEWAY_TIMEOUT, None),
            Failure::ResponseLost => (StatusCode::BAD_GATEWAY, None),
        };
        Refusal { status, after }
    }
}
