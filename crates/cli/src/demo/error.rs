//! The errors of the demo.

use std::{error, fmt, io};

use bulrushhall_bench::{TestbedError, load::PlanError};

/// A `DemoError` is the reason why the demo could not run.
#[derive(Debug)]
pub enum DemoError {
    /// The deployment could not be started.
    Testbed(TestbedError),
    /// The load could not be sent.
    Load(PlanError),
    /// An I/O operation failed.
    Io(io::Error),
    /// A task of the demo panicked or was cancelled.
    Task,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemoError::Testbed(error) => write!(f, "could not start the deployment: {error}"),
            DemoError::Load(error) => write!(f, "could not send the load: {error}"),
            DemoError::Io(error) => write!(f, "{error}"),
            DemoError::Task => f.write_str("a task of the demo panicked or was cancelled"),
        }
    }
}

impl error::Error for DemoError {}

impl From<TestbedError> for DemoError {
    fn from(error: TestbedError) -> Self {
        DemoError::Testbed(error)
    }
}

impl From<PlanError> for DemoError {
    fn from(error: PlanError) -> Self {
        DemoError::Load(error)
    }
}

impl From<io::Error> for DemoError {
    fn from(error: io::Error) -> Self {
        DemoError::Io(error)
    }
}
