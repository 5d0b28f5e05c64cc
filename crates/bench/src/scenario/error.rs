//! Why a script's command could not be carried out.

use std::{error, fmt};

/// A `ScenarioError` tells why a command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioError {
    /// No command has the name.
    UnknownCommand(String),
    /// An argument is missing.
    Missing(&'static str),
    /// An argument can't be read.
    Malformed(&'static str, String),
    /// Nothing was started yet, or nothing has the number.
    NotThere(&'static str),
    /// Something did not come about within the bound.
    Late(&'static str),
    /// The testbed could not be started or changed.
    Testbed(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::UnknownCommand(name) => write!(f, "no command is called {name:?}"),
            ScenarioError::Missing(name) => write!(f, "{name} is missing"),
            ScenarioError::Malformed(name, value) => write!(f, "{name} can't be {value:?}"),
            ScenarioError::NotThere(what) => write!(f, "there is no such {what}"),
            ScenarioError::Late(what) => write!(f, "not within the bound: {what}"),
            ScenarioError::Testbed(error) => f.write_str(error),
        }
    }
}

impl error::Error for ScenarioError {}
