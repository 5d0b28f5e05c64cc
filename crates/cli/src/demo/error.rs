//! Why the demo could not be run.

use std::{error, fmt, io};

use bulrushhall_bench::{TestbedError, load::PlanError};

/// A `DemoError` tells which part of the demo failed.
#[derive(Debug)]
pub enum DemoError {
    /// The deployment could not be started.
    Testbed(TestbedError),
    /// The load could not be sent.
    Load(PlanError),
    /// Something could not be read or written.
    Io(io::Error),
    /// A task of the demo ended early.
    Task,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemoError::Testbed(error) => write!(f, "the deployment could not be started: {error}"),
            DemoError::Load(error) => write!(f, "the load could not be sent: {error}"),
            DemoError::Io(error) => write!(f, "{error}"),
            DemoError::Task => f.write_str("a task of the demo ended early"),
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
