//! What differs between two configurations.

use std::collections::BTreeMap;

use bulrushhall_core::{
    Deployment,
    config::{parse_sections, render},
};
use serde::Serialize;

/// A `Change` is one value that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The section, as its header is written.
    pub section: String,
    /// The key; none where the whole section is new or gone.
    pub key: Option<String>,
    /// The value before; none where it was the default or the section is new.
    pub before: Option<String>,
    /// The value after; none where it is the default or the section is gone.
    pub after: Option<String>,
}

type Values = BTreeMap<String, BTreeMap<String, String>>;

/// Returns what differs from `before` to `after`, in the order of sections and keys.
pub fn changes(before: &Deployment, after: &Deployment) -> Vec<Change> {
    let (before, after) = (values_of(before), values_of(after));
    let mut changes = Vec::new();
    let mut headers: Vec<&String> = before.keys().chain(after.keys()).collect();
    headers.sort();
    headers.dedup();
    let empty = BTreeMap::new();
    for header in headers {
        let (old, new) = (before.get(header), after.get(header));
        if old.is_some() != new.is_some() {
            let word = |there: bool| there.then(|| "present".to_owned());
            changes.push(Change {
                section: header.clone(),
                key: None,
                before: word(old.is_some()),
                after: word(new.is_some()),
            });
        }
        let (old, new) = (old.unwrap_or(&empty), new.unwrap_or(&empty));
        let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let (old, new) = (old.get(key), new.get(key));
            if old == new {
                continue;
            }
            changes.push(Change {
                section: header.clone(),
                key: Some(key.clone()),
                before: old.cloned(),
                after: new.cloned(),
            });
        }
    }
    changes
}

/// Returns the changes as text for people, one a line.
pub fn to_text(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        let key = change.key.as_deref().unwrap_or("(section)");
        let before = change.before.as_deref().unwrap_or("-");
        let after = change.after.as_deref().unwrap_or("-");
        text.push_str(&format!("{} {key}: {before} -> {after}\n", change.section));
    }
    text
}

fn values_of(deployment: &Deployment) -> Values {
    // What was rendered is well-formed, so there is always something to read.
    let sections = parse_sections("rendered", &render(deployment)).unwrap_or_default();
    let mut all = Values::new();
    for section in sections {
        if section.kind.is_empty() {
            continue;
        }
        let values = section.values.iter().map(|(key, (value, _))| (key.clone(), value.clone()));
        all.insert(section.header(), values.collect());
    }
    all
}
