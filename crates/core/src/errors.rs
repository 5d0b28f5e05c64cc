//! Errors of the shared types.

use std::{error, fmt, result};

/// A `Result` whose error is a [`CoreError`].
pub type Result<T> = result::Result<T, CoreError>;

/// A `CoreError` tells which value was malformed and in what way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreError {
    /// A name is empty, too long, or holds a byte that names may not hold.
    Name {
        /// What was to be named.
        kind: &'static str,
        /// The text that was given.
        text: String,
    },
    /// A request id does not have the form `r-INCARNATION-SEQUENCE`.
    RequestId {
        /// The text that was given.
        text: String,
    },
    /// An event id of a stream does not have the form `REQUEST:NUMBER`.
    StreamPosition {
        /// The text that was given.
        text: String,
    },
    /// A value is not of the form that its unit asks for.
    Value {
        /// What a well-formed value looks like.
        expected: &'static str,
        /// The text that was given.
        text: String,
    },
    /// The configuration text is not well-formed or does not hold together.
    Config(Vec<crate::config::Problem>),
}

impl CoreError {
    /// Returns the error for a malformed name.
    pub fn name(kind: &'static str, text: &str) -> CoreError {
        CoreError::Name { kind, text: text.chars().take(80).collect() }
    }

    /// Returns the error for a malformed request id.
    pub fn request_id(text: &str) -> CoreError {
        CoreError::RequestId { text: text.chars().take(80).collect() }
    }

    /// Returns the error for a malformed value with a unit.
    pub fn value(expected: &'static str, text: &str) -> CoreError {
        CoreError::Value { expected, text: text.chars().take(80).collect() }
    }

    /// Returns the error for a malformed stream position.
    pub fn stream_position(text: &str) -> CoreError {
        CoreError::StreamPosition { text: text.chars().take(80).collect() }
    }
}

impl fmt::Display for CoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CoreError::Name { kind, text } => write!(
                f,
                "malformed name of a {kind}: {text:?} (1 to 64 letters, digits, '.', '_' or '-')"
            ),
            CoreError::RequestId { text } => write!(f, "malformed request id: {text:?}"),
            CoreError::StreamPosition { text } => write!(f, "malformed stream event id: {text:?}"),
            CoreError::Value { expected, text } => {
                write!(f, "malformed value {text:?}, expected {expected}")
            }
            CoreError::Config(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                Ok(())
            }
        }
    }
}

impl error::Error for CoreError {}
