//! What came of a call of a plain service.

use bulrushhall_core::Ran;
use bulrushhall_external::{CallError, service::ServiceResponse};
use serde::{Deserialize, Serialize};

/// A `Repeat` tells after which attempts a call may be sent to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// After any.
    Allowed,
    /// After one that certainly did not run it.
    AfterNotRun,
}

/// A `Sent` is what came of a call at the backend servers of its service.
#[derive(Debug)]
pub(crate) struct Sent {
    /// Whether it has run.
    pub(crate) ran: Ran,
    /// The last response.
    pub(crate) response: Option<ServiceResponse>,
    /// The last error.
    pub(crate) error: Option<CallError>,
    /// Whether no connection to any server could be opened.
    pub(crate) is_lost: bool,
}

impl Default for Sent {
    fn default() -> Self {
        Sent { ran: Ran::No, response: None, error: None, is_lost: false }
    }
}

impl Sent {
    /// Returns the end of a call for which no server could be reached.
    pub(crate) fn lost(error: CallError) -> Sent {
        Sent { error: Some(error), is_lost: true, ..Sent::default() }
    }

    /// Returns the end of a call without a response.
    pub(crate) fn failed(error: CallError) -> Sent {
        Sent { ran: error.ran, error: Some(error), ..Sent::default() }
    }
}
