//! Errors of the shared types.

use std::{error, fmt, result};

/// A `Result` whose error is a [`CoreError`].
pub type Result<T> = result::Result<T, CoreError>;

/// A `CoreError` is a malformed value or an invalid configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreError {
    /// A name is empty, too long or contains a byte that is not allowed in names.
    Name {
        /// The kind of thing that the name is for.
        kind: &'static str,
        /// The text, shortened.
        text: String,
    },
    /// A request id does not have the form `r-INCARNATION-SEQUENCE`.
    RequestId {
        /// The text, shortened.
        text: String,
    },
    /// The id of a stream event does not have the form `REQUEST:NUMBER`.
    StreamPosition {
        /// The text, shortened.
        text: String,
    },
    /// A value does not have the form that its unit requires.
    Value {
        /// The form of a value.
        expected: &'static str,
        /// The text, shortened.
        text: String,
    },
    /// The configuration text is malformed or inconsistent.
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
