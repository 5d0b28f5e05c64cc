//! Replacement of the generated tables on the capacity page.

use std::{collections::BTreeMap, error, fmt};

/// The start of the marker before a table; the table's name follows.
const OPEN: &str = "<!-- table: ";
/// The end of the marker before a table.
const OPEN_END: &str = " -->\n";
/// The marker after a table.
const CLOSE: &str = "<!-- end -->";

/// A `PageError` is the reason why the tables of a page could not be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// The page has a marker for an unknown table.
    UnknownTable(String),
    /// A table's marker is not closed.
    NotClosed(String),
    /// The page has no marker for a table.
    NoPlace(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::UnknownTable(name) => write!(f, "there is no table {name:?}"),
            PageError::NotClosed(name) => write!(f, "the marker of table {name:?} is not closed"),
            PageError::NoPlace(name) => write!(f, "the page has no marker for table {name:?}"),
        }
    }
}

impl error::Error for PageError {}

/// Returns a page with its tables replaced.
pub fn fill(page: &str, tables: &BTreeMap<&'static str, String>) -> Result<String, PageError> {
    let mut filled = String::new();
    let mut rest = page;
    let mut missing: Vec<&str> = tables.keys().copied().collect();
    while let Some((before, behind)) = rest.split_once(OPEN) {
        let (name, body) = behind
            .split_once(OPEN_END)
            .ok_or_else(|| PageError::NotClosed(behind.chars().take(20).collect()))?;
        let (_, after) =
            body.split_once(CLOSE).ok_or_else(|| PageError::NotClosed(name.to_owned()))?;
        let table = tables.get(name).ok_or_else(|| PageError::UnknownTable(name.to_owned()))?;
        for part in [before, OPEN, name, OPEN_END, "\n", table, "\n", CLOSE] {
            filled.push_str(part);
        }
        missing.retain(|table| *table != name);
        rest = after;
    }
    filled.push_str(rest);
    match missing.first() {
        Some(name) => Err(PageError::NoPlace((*name).to_owned())),
        None => Ok(filled),
    }
}
