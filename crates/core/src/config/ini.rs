//! Parsing of INI text into sections and typed settings, with line numbers for error messages.

use std::collections::{BTreeMap, BTreeSet, btree_map::Entry};

use ini_core::{Item, Parser};
use serde::de::DeserializeOwned;

use crate::{
    config::{Deployment, Problem, Section, check, closest_match},
    errors::{CoreError, Result},
    name::{Name, NameKind},
};

/// The kinds of sections that a configuration may have.
pub const SECTION_KINDS: [&str; 12] = [
    "service", "engines", "model", "version", "adapter", "rollout", "class", "team", "route",
    "zone", "vm-class", "weights",
];

type Problems = Vec<Problem>;

/// Returns the sections of an INI text and its syntax problems.
///
/// A line that can't be parsed is skipped, so that the rest is still checked.
pub fn read_sections(file: &str, text: &str) -> (Vec<Section>, Problems) {
    let mut problems = Vec::new();
    let mut sections = vec![Section::default()];
    let mut parser = Parser::new(text).auto_trim(true);

    loop {
        let line = usize::try_from(parser.line()).unwrap_or(usize::MAX).saturating_add(1);
        let Some(item) = parser.next() else { break };
        match item {
            Item::Section(header) => sections.push(Section::new(header, line)),
            Item::Property(key, value) => {
                let Some(section) = sections.last_mut() else { continue };
                let value = value.unwrap_or_default().to_owned();
                match section.values.entry(key.to_owned()) {
                    Entry::Vacant(entry) => {
                        entry.insert((value, line));
                    }
                    Entry::Occupied(entry) => {
                        let first = entry.get().1;
                        let message = format!("{key} is set twice, first in line {first}");
                        problems.push(Problem::new(file, line, message).hint("remove one of them"));
                    }
                }
            }
            Item::Error(text) => {
                let message = format!("not a section, key or comment: {text:?}");
                problems.push(Problem::new(file, line, message).hint("write key = value"));
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => continue,
        }
    }
    (sections, problems)
}

/// Returns the sections of an INI text; duplicate keys and malformed lines are problems.
pub fn parse_sections(file: &str, text: &str) -> std::result::Result<Vec<Section>, Problems> {
    let (sections, problems) = read_sections(file, text);
    if problems.is_empty() { Ok(sections) } else { Err(problems) }
}

/// Returns a problem for each section that is duplicate or not of a known kind.
pub fn unknown_sections(file: &str, sections: &[Section], known: &[&str]) -> Problems {
    let mut problems = Vec::new();
    let mut seen = BTreeMap::new();
    for section in sections {
        if section.kind.is_empty() {
            let Some((key, (_, line))) = section.values.first_key_value() else { continue };
            let message = format!("{key} is set before the first section");
            problems.push(Problem::new(file, *line, message).hint("move it below a [section]"));
            continue;
        }
        if !known.contains(&section.kind.as_str()) {
            let message = format!("unknown section {}", section.header());
            let hint = match closest_match(&section.kind, known.iter().copied()) {
                Some(suggestion) => format!("did you mean [{suggestion}]?"),
                None => format!("known sections are {}", known.join(", ")),
            };
            problems.push(Problem::new(file, section.line, message).hint(hint));
            continue;
        }
        if let Some(first) = seen.insert((&section.kind, &section.name), section.line) {
            let message = format!("{} is defined twice, first in line {first}", section.header());
            problems.push(Problem::new(file, section.line, message).hint("remove one of them"));
        }
    }
    problems
}

/// Returns the deployment that an INI text describes, validated as a whole.
///
/// The error holds all problems, ordered by line.
pub fn parse_deployment(file: &str, text: &str) -> Result<Deployment> {
    let (sections, mut problems) = read_sections(file, text);
    let mut deployment = Deployment::default();
    problems.extend(unknown_sections(file, &sections, &SECTION_KINDS));
    for section in &sections {
        if let Err(found) = add_section(file, section, &mut deployment) {
            problems.extend(found);
        }
    }
    // A value that was skipped as malformed must not be reported again as missing.
    let reported: BTreeSet<usize> = problems.iter().map(|problem| problem.line).collect();
    let mut checked = check(file, &sections, &deployment);
    checked.retain(|problem| !reported.contains(&problem.line));
    problems.extend(checked);
    if problems.is_empty() {
        return Ok(deployment);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(CoreError::Config(problems))
}

fn add_section(
    file: &str,
    section: &Section,
    deployment: &mut Deployment,
) -> std::result::Result<(), Problems> {
    match section.kind.as_str() {
        "service" => insert(file, section, &mut deployment.services),
        "engines" => insert(file, section, &mut deployment.engines),
        "model" => insert(file, section, &mut deployment.models),
        "version" => insert(file, section, &mut deployment.versions),
        "adapter" => insert(file, section, &mut deployment.adapters),
        "rollout" => insert(file, section, &mut deployment.rollouts),
        "class" => insert(file, section, &mut deployment.classes),
        "team" => insert(file, section, &mut deployment.teams),
        "route" => insert(file, section, &mut deployment.routes),
        "zone" => insert(file, section, &mut deployment.zones),
        "vm-class" => insert(file, section, &mut deployment.vm_classes),
        "weights" => {
            deployment.weights = section.read(file)?;
            Ok(())
        }
        _ => Ok(()),
    }
}

// A section with problems is inserted too: otherwise each reference to it would be reported as well.
fn insert<K: NameKind, T: DeserializeOwned + Default>(
    file: &str,
    section: &Section,
    into: &mut BTreeMap<Name<K>, T>,
) -> std::result::Result<(), Problems> {
    let name = Name::<K>::new(&section.name).map_err(|error| {
        let hint = format!("write [{} NAME]", section.kind);
        vec![Problem::new(file, section.line, error.to_string()).hint(hint)]
    })?;
    let (settings, problems) = section.read_lenient(file);
    into.entry(name).or_insert_with(|| settings.unwrap_or_default());
    if problems.is_empty() { Ok(()) } else { Err(problems) }
}
