//! Why an attempt got no response.

use bulrushhall_core::Ran;

use crate::{backends::OpenError, rollouts::AttemptEnd};

/// A `SendFault` is the reason why an attempt got no response that may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection could be opened.
    NotOpened(OpenError),
    /// The node that was to carry the request refuses it because of a part of its prompt.
    Blocked,
    /// The backend server reports that it did not run the request.
    NotRun,
    /// Another backend server listens at the address.
    OtherBackend,
    /// No response head arrived before another server's, or in time.
    Silent,
    /// The connection was closed before a response head arrived.
    Closed,
    /// The response belongs to another request, does not carry the backend server's seal, or is none.
    Foreign,
}

impl SendFault {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SendFault::NotOpened(OpenError::Unreachable) => "unreachable",
            SendFault::NotOpened(OpenError::Full) => "too_many_connections",
            SendFault::Blocked => "blocked",
            SendFault::NotRun => "not_run",
            SendFault::OtherBackend => "other_backend",
            SendFault::Silent => "silent",
            SendFault::Closed => "closed",
            SendFault::Foreign => "foreign",
        }
    }

    /// Returns whether no connection could be opened.
    pub fn is_not_opened(self) -> bool {
        matches!(self, SendFault::NotOpened(_))
    }

    /// Returns how the attempt ended, for the choice of the next server.
    pub fn attempt_end(self) -> AttemptEnd {
        match self {
            SendFault::NotOpened(OpenError::Unreachable) => AttemptEnd::Unreachable,
            _ => AttemptEnd::Other,
        }
    }
}

/// A `SendError` is an attempt that got no response that may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendError {
    /// The reason.
    pub fault: SendFault,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Whether the connection had carried an earlier request.
    pub kept: bool,
}
