//! The error of starting a testbed.

use std::{error, fmt, io};

use bulrushhall_core::CoreError;
use bulrushhall_daemon::{config_chain::ApplyError, errors::NodeError};
use error_stack::Report;

/// A `TestbedError` is the reason why a testbed could not be started.
#[derive(Debug)]
pub enum TestbedError {
    /// A name is malformed.
    Name(CoreError),
    /// A port could not be opened.
    Listen(io::Error),
    /// The configuration could not be written.
    Config(ApplyError),
    /// A node could not be started.
    Node(Report<NodeError>),
    /// The configuration was not in force on the nodes in time, or the task that starts a node
    /// panicked.
    Late,
}

impl fmt::Display for TestbedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TestbedError::Name(error) => write!(f, "{error}"),
            TestbedError::Listen(error) => write!(f, "a port could not be opened: {error}"),
            TestbedError::Config(error) => write!(f, "the configuration was not written: {error}"),
            TestbedError::Node(report) => write!(f, "a node could not be started: {report:?}"),
            TestbedError::Late => f.write_str("the configuration was not in force in time"),
        }
    }
}

impl error::Error for TestbedError {}

impl From<CoreError> for TestbedError {
    fn from(error: CoreError) -> Self {
        TestbedError::Name(error)
    }
}

impl From<io::Error> for TestbedError {
    fn from(error: io::Error) -> Self {
        TestbedError::Listen(error)
    }
}
