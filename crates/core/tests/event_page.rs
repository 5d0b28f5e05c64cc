//! The page of log events, the `Event` type and the log lines agree.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use bulrushhall_core::Event;

struct Row {
    name: String,
    level: String,
    meaning: String,
    action: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rows() -> BTreeMap<u16, Row> {
    let page = fs::read_to_string(root().join("docs/EVENTS.md")).expect("the page");
    let mut rows = BTreeMap::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let ["", number, name, level, meaning, action, ""] = cells.as_slice() else { continue };
        let Ok(number) = number.parse() else { continue };
        let row = Row {
            name: (*name).to_owned(),
            level: (*level).to_owned(),
            meaning: (*meaning).to_owned(),
            action: (*action).to_owned(),
        };
        assert!(rows.insert(number, row).is_none(), "{number} is on the page twice");
    }
    rows
}

// The variants and their doc comments, parsed from the source: comparing only `Event::ALL` with the
// page would miss a variant that is absent from both.
fn variants() -> BTreeMap<String, String> {
    let source = fs::read_to_string(root().join("crates/core/src/event.rs")).expect("the source");
    let body = source.split("pub enum Event {").nth(1).expect("the enum");
    let body = body.split("\n}").next().expect("the end of the enum");
    let mut variants = BTreeMap::new();
    let mut comment = String::new();
    for line in body.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("/// ") {
            let space = if comment.is_empty() { "" } else { " " };
            comment = format!("{comment}{space}{text}");
            continue;
        }
        if let Some(name) = line.strip_suffix(',') {
            variants.insert(name.to_owned(), std::mem::take(&mut comment));
        }
    }
    variants
}

fn read_sources(dir: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, texts);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(fs::read_to_string(&path).expect("a source file"));
        }
    }
}

#[test]
fn page_and_variants() {
    let rows = rows();
    let variants = variants();
    assert_eq!(Event::ALL.len(), variants.len(), "a variant is missing in Event::ALL");
    for event in Event::ALL {
        let name = format!("{event:?}");
        let row = rows.get(&event.number());
        let row = row.unwrap_or_else(|| panic!("{name} is missing in docs/EVENTS.md"));
        assert_eq!(row.name, name);
        assert_eq!(row.meaning, variants[&name], "{name}");
        assert!(!row.action.is_empty(), "{name}: no action for the operator");
    }
    for (number, row) in &rows {
        let known = Event::ALL.iter().any(|event| event.number() == *number);
        assert!(known, "{number} {} is on the page only", row.name);
    }
}

#[test]
fn ascending_numbers() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn levels() {
    let mut texts = Vec::new();
    for name in fs::read_dir(root().join("crates")).expect("the crates") {
        read_sources(&name.expect("an entry").path().join("src"), &mut texts);
    }
    let rows = rows();
    for event in Event::ALL {
        let call = format!("event = Event::{event:?}.number()");
        let mut lines = 0;
        for text in &texts {
            for (at, _) in text.match_indices(&call) {
                let before = &text[..at];
                let start = before.rfind("tracing::").expect("a log macro");
                let level = before[start..].trim_start_matches("tracing::");
                let level = level.split('!').next().expect("the macro's name");
                assert_eq!(level, rows[&event.number()].level, "{event:?}");
                lines += 1;
            }
        }
        assert!(0 < lines, "no log line has {event:?}");
    }
}
