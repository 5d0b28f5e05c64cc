//! Errors of calls to backend servers, peers and the platform.

use std::{error, fmt};

use bulrushhall_core::Ran;

use crate::http::BodyError;

/// A `CallError` states why a call failed and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// The kind of failure.
    pub fault: CallFault,
    /// Whether the server may have run the call.
    pub ran: Ran,
}

/// A `CallFault` is the kind of failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection could be opened.
    Connect,
    /// The process at the address is not the expected one.
    Identity,
    /// The server made no progress within the timeout.
    Timeout,
    /// The connection was closed before the response was complete.
    Closed,
    /// The server refused the call.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The response is larger than the limit of this node.
    TooLarge,
    /// The request could not be encoded, or the response could not be decoded.
    Malformed,
    /// The response is of an era before the latest known one, or of none.
    EarlierEra,
    /// The caller's own budget for such calls is exhausted.
    Budget,
}

impl CallError {
    /// Returns the error of a call that did not take effect and will not.
    pub fn not_done(fault: CallFault) -> CallError {
        CallError { fault, ran: Ran::No }
    }

    /// Returns the error of a call that may have taken effect or may still do so.
    pub fn unknown(fault: CallFault) -> CallError {
        CallError { fault, ran: Ran::Unknown }
    }
}

impl From<BodyError> for CallFault {
    fn from(error: BodyError) -> CallFault {
        match error {
            BodyError::TooLarge => CallFault::TooLarge,
            BodyError::Timeout => CallFault::Timeout,
            BodyError::Malformed => CallFault::Malformed,
            BodyError::Closed | BodyError::NoRoom => CallFault::Closed,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.fault {
            CallFault::Connect => f.write_str("no connection could be opened"),
            CallFault::Identity => f.write_str("another process answers at the address"),
            CallFault::Timeout => f.write_str("no progress within the time-out"),
            CallFault::Closed => f.write_str("the connection ended early"),
            CallFault::Refused { status } => write!(f, "refused with status {status}"),
            CallFault::TooLarge => f.write_str("the answer is larger than allowed"),
            CallFault::Malformed => f.write_str("the answer could not be read"),
            CallFault::EarlierEra => f.write_str("the answer is of an earlier era of the service"),
            CallFault::Budget => f.write_str("the budget for such calls is spent"),
        }?;
        write!(f, " (ran: {})", self.ran.as_str())
    }
}

impl error::Error for CallError {}
