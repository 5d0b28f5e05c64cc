//! Errors of the commands of scenario scripts.

use std::{error, fmt};

/// A `ScenarioError` is the reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioError {
    /// The script names a command that does not exist.
    UnknownCommand(String),
    /// A required argument is missing.
    Missing(&'static str),
    /// An argument has a value that can't be parsed.
    Malformed(&'static str, String),
    /// The deployment, load, notice or server that the command needs does not exist.
    NotFound(&'static str),
    /// A condition was not met before its time limit.
    Timeout(&'static str),
    /// The testbed could not be started or changed.
    Testbed(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::UnknownCommand(name) => write!(f, "unknown command {name:?}"),
            ScenarioError::Missing(name) => write!(f, "argument {name} is missing"),
            ScenarioError::Malformed(name, value) => {
                write!(f, "argument {name} has the invalid value {value:?}")
            }
            ScenarioError::NotFound(what) => write!(f, "{what} not found"),
            ScenarioError::Timeout(what) => write!(f, "timed out waiting for {what}"),
            ScenarioError::Testbed(error) => f.write_str(error),
        }
    }
}

impl error::Error for ScenarioError {}
