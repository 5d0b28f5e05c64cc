//! Rendering of a deployment as INI text.

use std::{collections::BTreeMap, fmt::Write};

use serde::Serialize;
use serde_json::Value;

use crate::{config::Deployment, name::Name};

/// Returns the INI text of a deployment, without the values that are the default.
///
/// Parsing the text gives the same deployment.
pub fn render(deployment: &Deployment) -> String {
    let mut text = String::new();
    write_all(&mut text, "zone", &deployment.zones);
    write_all(&mut text, "vm-class", &deployment.vm_classes);
    write_all(&mut text, "service", &deployment.services);
    write_all(&mut text, "engines", &deployment.engines);
    write_all(&mut text, "model", &deployment.models);
    write_all(&mut text, "version", &deployment.versions);
    write_all(&mut text, "adapter", &deployment.adapters);
    write_all(&mut text, "rollout", &deployment.rollouts);
    write_all(&mut text, "class", &deployment.classes);
    write_all(&mut text, "team", &deployment.teams);
    write_all(&mut text, "route", &deployment.routes);
    write_section(&mut text, "weights", &deployment.weights);
    text
}

/// Returns the keys of a settings type with the texts of their values; an unset key has `None`.
pub fn pairs_of(settings: &impl Serialize) -> Vec<(String, Option<String>)> {
    let value = serde_json::to_value(settings).unwrap_or(Value::Null);
    let Value::Object(fields) = value else { return Vec::new() };
    let mut pairs = Vec::new();
    for (key, value) in fields {
        let text = match value {
            Value::Null => None,
            Value::String(text) => Some(text),
            other => Some(other.to_string()),
        };
        pairs.push((key, text));
    }
    pairs
}

fn write_all<K, T: Serialize + Default>(
    text: &mut String,
    kind: &str,
    settings: &BTreeMap<Name<K>, T>,
) {
    for (name, settings) in settings {
        write_section(text, &format!("{kind} {name}"), settings);
    }
}

fn write_section<T: Serialize + Default>(text: &mut String, header: &str, settings: &T) {
    let defaults = pairs_of(&T::default());
    // Writing to a string cannot fail.
    let _ = writeln!(text, "[{header}]");
    for (pair, default) in pairs_of(settings).iter().zip(&defaults) {
        if pair == default {
            continue;
        }
        let value = pair.1.as_deref().unwrap_or_default();
        let _ = writeln!(text, "{} = {value}", pair.0);
    }
    text.push('\n');
}
