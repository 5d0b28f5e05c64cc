//! How results are printed: tables for people, JSON for programs.

use std::io::{self, Write};

use comfy_table::{Table, TableStyle};
use serde::Serialize;
use serde_json::json;

use crate::error::CliError;

/// A `Format` tells for whom results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Human,
    /// For programs, as one JSON object.
    Json,
}

/// An `Output` prints the results of a command.
pub struct Output {
    /// For whom results are printed.
    pub format: Format,
}

impl Output {
    /// Prints a value as JSON to programs, and the text to people.
    pub fn print(&self, value: &impl Serialize, text: &str) -> Result<(), CliError> {
        let mut out = io::stdout().lock();
        let written = match self.format {
            Format::Json => match serde_json::to_string(value) {
                Ok(line) => writeln!(out, "{line}"),
                Err(error) => Err(io::Error::other(error)),
            },
            Format::Human if text.ends_with('\n') || text.is_empty() => write!(out, "{text}"),
            Format::Human => writeln!(out, "{text}"),
        };
        written.map_err(CliError::Write)
    }

    /// Prints a failure with what to do next.
    pub fn fail(&self, error: &CliError) {
        let mut out = io::stderr().lock();
        let next = error.next_step();
        // Where not even this can be written, the exit code still tells.
        let _ = match self.format {
            Format::Json => {
                let problems = match error {
                    CliError::Invalid(problems) => problems.as_slice(),
                    _ => &[],
                };
                let code = error.status().code();
                let value = json!({
                    "error": error.to_string(),
                    "next": next,
                    "exit_code": code,
                    "problems": problems,
                });
                writeln!(out, "{value}")
            }
            Format::Human => writeln!(out, "error: {error}\nnext: {next}"),
        };
    }
}

/// Returns a table as text.
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(TableStyle::new());
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}
