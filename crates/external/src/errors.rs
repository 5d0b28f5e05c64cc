//! How a call to a backend server, a peer or the platform can fail.

use std::{error, fmt};

use bulrushhall_core::Ran;

use crate::http::BodyError;

/// A `CallError` is a failed call: what went wrong and whether the call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// What went wrong.
    pub fault: CallFault,
    /// Whether the other side may have acted on the call.
    pub ran: Ran,
}

/// A `CallFault` is the kind of a failed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection could be opened.
    Connect,
    /// The process behind the address is not the one that was meant.
    Identity,
    /// The other side made no progress for too long.
    Timeout,
    /// The connection ended before the answer was whole.
    Closed,
    /// The other side refused the call.
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer is larger than this node reads.
    TooLarge,
    /// The answer could not be read.
    Malformed,
    /// The caller's own budget for such calls is spent.
    Budget,
}

impl CallError {
    /// Returns the error of a call that certainly did not take effect.
    pub fn not_done(fault: CallFault) -> CallError {
        CallError { fault, ran: Ran::No }
    }

    /// Returns the error of a call that may have taken effect or may yet do so.
    pub fn unknown(fault: CallFault) -> CallError {
        CallError { fault, ran: Ran::Unknown }
    }
}

impl From<BodyError> for CallFault {
    fn from(error: BodyError) -> CallFault {
        match error {
            BodyError::TooLarge => CallFault::TooLarge,
            BodyError::Timeout => CallFault::Timeout,
            BodyError::Closed => CallFault::Closed,
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
            CallFault::Budget => f.write_str("the budget for such calls is spent"),
        }?;
        write!(f, " (ran: {})", self.ran.as_str())
    }
}

impl error::Error for CallError {}
