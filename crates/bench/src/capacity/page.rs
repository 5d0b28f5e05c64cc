//! The page whose tables are filled in from slopes.

use std::{collections::BTreeMap, error, fmt};

/// The text before the name of a table.
const OPEN: &str = "<!-- table: ";
/// The text behind the name of a table.
const OPEN_END: &str = " -->\n";
/// The text behind a table.
const CLOSE: &str = "<!-- end -->";

/// A `PageError` tells why a page could not be filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// The page names a table that there is none of.
    UnknownTable(String),
    /// A table's mark is not closed.
    NotClosed(String),
    /// A table has no place on the page.
    NoPlace(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::UnknownTable(name) => write!(f, "there is no table {name:?}"),
            PageError::NotClosed(name) => write!(f, "the mark of table {name:?} is not closed"),
            PageError::NoPlace(name) => write!(f, "the page has no place for table {name:?}"),
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
