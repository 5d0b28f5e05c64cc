//! One thing that is wrong in a configuration or settings text.

use std::fmt;

use serde::Serialize;

/// A `Problem` says what is wrong in a text, where, and what would mend it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The name of the text, mostly a file's path.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// What the operator may write in its place, where that can be told.
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
