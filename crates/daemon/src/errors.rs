//! The errors of a node's start.

use std::{error, fmt};

/// A `NodeError` is the step of a node's start that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeError {
    /// The settings could not be read.
    Settings,
    /// The certificates could not be used.
    Certificates,
    /// A port could not be opened.
    Listen,
    /// The actors could not be started.
    Start,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NodeError::Settings => "the settings could not be read",
            NodeError::Certificates => "the certificates could not be used",
            NodeError::Listen => "a port could not be opened",
            NodeError::Start => "the node could not be started",
        })
    }
}

impl error::Error for NodeError {}
