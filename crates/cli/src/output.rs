//! Output of commands: human-readable text or JSON.

use std::io::{self, Write};

use comfy_table::{Table, TableStyle};
use serde::Serialize;
use serde_json::json;

use crate::error::CliError;

/// A `Format` is the format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Human,
    /// One JSON value on one line.
    Json,
}

/// An `Output` prints the result or error of a command.
pub struct Output {
    /// The format of the output.
    pub format: Format,
}

impl Output {
    /// Prints `value` as JSON or `text`, depending on the format.
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

    /// Prints an error and the suggested next step to standard error.
    pub fn print_error(&self, error: &CliError) {
        let mut out = io::stderr().lock();
        let next_step = error.next_step();
        // If standard error can't be written either, the exit code still reports the failure.
        let _ = match self.format {
            Format::Json => {
                let problems = match error {
                    CliError::Invalid(problems) => problems.as_slice(),
                    _ => &[],
                };
                let code = error.exit_status().code();
                let value = json!({
                    "error": error.to_string(),
                    "next": next_step,
                    "exit_code": code,
                    "problems": problems,
                });
                writeln!(out, "{value}")
            }
            Format::Human => writeln!(out, "error: {error}\nnext: {next_step}"),
        };
    }
}

/// Returns a plain-text table.
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(TableStyle::new());
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}
