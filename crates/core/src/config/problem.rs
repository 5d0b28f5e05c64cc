//! Problems found in a configuration or settings text.

use std::fmt;

use serde::Serialize;

/// A `Problem` is an error in a text, with its location and a hint for its correction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The name of the text, usually the path of a file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The description of the error.
    pub message: String,
    /// The suggested correction, if there is one.
    pub hint: Option<String>,
}

impl Problem {
    /// Returns a problem without a hint.
    pub fn new(file: &str, line: usize, message: impl Into<String>) -> Problem {
        Problem { file: file.to_owned(), line, message: message.into(), hint: None }
    }

    /// Returns this problem with a hint.
    pub fn hint(self, hint: impl Into<String>) -> Problem {
        Problem { hint: Some(hint.into()), ..self }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, " (hint: {hint})")?;
        }
        Ok(())
    }
}
