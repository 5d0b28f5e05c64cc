//! The differences between two configurations.

use std::collections::BTreeMap;

use bulrushhall_core::{
    Deployment,
    config::{parse_sections, render},
};
use serde::Serialize;

/// A `Change` is one value or section that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The header of the section.
    pub section: String,
    /// The key, or `None` if the whole section was added or removed.
    pub key: Option<String>,
    /// The value before, or `None` if it was the default or the section was added.
    pub before: Option<String>,
    /// The value after, or `None` if it is the default or the section was removed.
    pub after: Option<String>,
}

type SectionValues = BTreeMap<String, BTreeMap<String, String>>;

/// Returns the differences from `before` to `after`, ordered by section and key.
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
            let presence = |exists: bool| exists.then(|| "present".to_owned());
            changes.push(Change {
                section: header.clone(),
                key: None,
                before: presence(old.is_some()),
                after: presence(new.is_some()),
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

/// Returns the changes as human-readable text, one per line.
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

fn values_of(deployment: &Deployment) -> SectionValues {
    // The text was rendered from a valid deployment, so it always parses.
    let sections = parse_sections("rendered", &render(deployment)).unwrap_or_default();
    let mut values_by_section = SectionValues::new();
    for section in sections {
        if section.kind.is_empty() {
            continue;
        }
        let values = section.values.iter().map(|(key, (value, _))| (key.clone(), value.clone()));
        values_by_section.insert(section.header(), values.collect());
    }
    values_by_section
}
