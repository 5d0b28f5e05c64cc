//! Reading of INI text into sections and typed settings, with line numbers for errors.

use std::collections::BTreeMap;

use ini_core::{Item, Parser};
use serde::de::{
    DeserializeOwned,
    value::{Error as ValueError, MapDeserializer},
};

use crate::{
    config::{Deployment, Problem, check, value::IniValue},
    errors::{CoreError, Result},
    name::{Name, NameKind},
};

/// A `Section` is one section of an INI text.
#[derive(Clone, Debug, Default)]
pub struct Section {
    /// The first word of the header, or empty for lines before the first header.
    pub kind: String,
    /// The second word of the header, or empty where there is none.
    pub name: String,
    /// The line of the header.
    pub line: usize,
    /// The values by key, each with its line.
    pub values: BTreeMap<String, (String, usize)>,
}

/// Returns the sections of an INI text; duplicate keys and malformed lines are problems.
pub fn parse_sections(file: &str, text: &str) -> std::result::Result<Vec<Section>, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut sections = vec![Section::default()];
    let mut parser = Parser::new(text).auto_trim(true);

    loop {
        let line = usize::try_from(parser.line()).unwrap_or(usize::MAX).saturating_add(1);
        let Some(item) = parser.next() else { break };
        match item {
            Item::Section(header) => sections.push(open_section(header, line)),
            Item::Property(key, value) => {
                let Some(section) = sections.last_mut() else { continue };
                let value = (value.unwrap_or_default().to_owned(), line);
                let Some((_, first)) = section.values.insert(key.to_owned(), value) else {
                    continue;
                };
                problems.push(problem(
                    file,
                    line,
                    format!("{key} is set twice, first in line {first}"),
                ));
            }
            Item::Error(text) => {
                problems.push(problem(
                    file,
                    line,
                    format!("not a section, key or comment: {text:?}"),
                ));
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => continue,
        }
    }

    if problems.is_empty() { Ok(sections) } else { Err(problems) }
}

/// Returns the settings that the values of a section stand for.
pub fn from_section<T: DeserializeOwned>(
    file: &str,
    section: &Section,
) -> std::result::Result<T, Problem> {
    let values = section.values.iter().map(|(key, (value, _))| (key.as_str(), IniValue(value)));
    let deserializer = MapDeserializer::<_, ValueError>::new(values);
    T::deserialize(deserializer).map_err(|error| {
        let text = error.to_string();
        let line = line_of(section, &text);
        problem(file, line, format!("in section [{} {}]: {text}", section.kind, section.name))
    })
}

/// Returns the settings of the section called `kind` in a text, or the defaults without one.
pub fn settings_from<T: DeserializeOwned>(file: &str, text: &str, kind: &str) -> Result<T> {
    let sections = parse_sections(file, text).map_err(CoreError::Config)?;
    let found = sections.iter().find(|section| section.kind == kind);
    let empty = Section::default();
    from_section(file, found.unwrap_or(&empty)).map_err(|problem| CoreError::Config(vec![problem]))
}

/// Returns the deployment that an INI text describes, checked as a whole.
pub fn parse_deployment(file: &str, text: &str) -> Result<Deployment> {
    let sections = parse_sections(file, text).map_err(CoreError::Config)?;
    let mut deployment = Deployment::default();
    let mut problems = Vec::new();
    for section in &sections {
        if let Err(problem) = add_section(file, section, &mut deployment) {
            problems.push(problem);
        }
    }
    problems.extend(check(file, &sections, &deployment));
    if problems.is_empty() { Ok(deployment) } else { Err(CoreError::Config(problems)) }
}

fn add_section(
    file: &str,
    section: &Section,
    deployment: &mut Deployment,
) -> std::result::Result<(), Problem> {
    match section.kind.as_str() {
        "service" => insert(file, section, &mut deployment.services),
        "model" => insert(file, section, &mut deployment.models),
        "class" => insert(file, section, &mut deployment.classes),
        "team" => insert(file, section, &mut deployment.teams),
        "zone" => insert(file, section, &mut deployment.zones),
        "weights" => {
            deployment.weights = from_section(file, section)?;
            Ok(())
        }
        "" if section.values.is_empty() => Ok(()),
        other => Err(problem(file, section.line, format!("unknown section [{other}]"))),
    }
}

fn insert<K: NameKind, T: DeserializeOwned>(
    file: &str,
    section: &Section,
    into: &mut BTreeMap<Name<K>, T>,
) -> std::result::Result<(), Problem> {
    let name = Name::<K>::new(&section.name)
        .map_err(|error| problem(file, section.line, error.to_string()))?;
    let value = from_section(file, section)?;
    if into.insert(name, value).is_some() {
        let message = format!("[{} {}] stands twice", section.kind, section.name);
        return Err(problem(file, section.line, message));
    }
    Ok(())
}

fn open_section(header: &str, line: usize) -> Section {
    let (kind, name) = header.trim().split_once(char::is_whitespace).unwrap_or((header.trim(), ""));
    Section { kind: kind.to_owned(), name: name.trim().to_owned(), line, values: BTreeMap::new() }
}

// The deserializer names the key but not its line, so the key is looked up by its name.
fn line_of(section: &Section, message: &str) -> usize {
    for (key, (value, line)) in &section.values {
        if message.contains(&format!("`{key}`")) || message.contains(value.as_str()) {
            return *line;
        }
    }
    section.line
}

fn problem(file: &str, line: usize, message: String) -> Problem {
    Problem { file: file.to_owned(), line, message, hint: None }
}
