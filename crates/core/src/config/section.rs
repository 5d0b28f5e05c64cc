//! One section of an INI text and the settings in it.

use std::collections::BTreeMap;

use serde::de::{
    DeserializeOwned,
    value::{Error as ValueError, MapDeserializer},
};

use crate::config::{Problem, fields_of, nearest, value::IniValue};

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

impl Section {
    /// Returns an empty section with the header in `line`.
    pub fn open(header: &str, line: usize) -> Section {
        let header = header.trim();
        let (kind, name) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
        let name = name.trim().to_owned();
        Section { kind: kind.to_owned(), name, line, values: BTreeMap::new() }
    }

    /// Returns the line of a key, or of the header where the key is not set.
    pub fn line_of(&self, key: &str) -> usize {
        self.values.get(key).map_or(self.line, |(_, line)| *line)
    }

    /// Returns the header as it is written.
    pub fn header(&self) -> String {
        format!("[{} {}]", self.kind, self.name).replace(" ]", "]")
    }

    /// Returns the settings in the section, or everything that is wrong in it.
    pub fn read<T: DeserializeOwned>(&self, file: &str) -> Result<T, Vec<Problem>> {
        let (settings, problems) = self.read_well_formed(file);
        settings.filter(|_| problems.is_empty()).ok_or(problems)
    }

    /// Returns what the well-formed values say, and everything that is wrong in the section.
    ///
    /// Each key is tried by itself first: serde stops at the first error, and an operator who is
    /// told of one mistake a run would run the check many times.
    pub fn read_well_formed<T: DeserializeOwned>(&self, file: &str) -> (Option<T>, Vec<Problem>) {
        let fields = fields_of::<T>();
        let mut pairs = Vec::new();
        let mut problems = Vec::new();
        for (key, (value, line)) in &self.values {
            if !fields.contains(&key.as_str()) {
                let message = format!("unknown key {key} in {}", self.header());
                let hint = match nearest(key, fields.iter().copied()) {
                    Some(near) => format!("did you mean {near}?"),
                    None => format!("known keys are {}", fields.join(", ")),
                };
                problems.push(Problem::new(file, *line, message).hint(hint));
                continue;
            }
            if let Err(error) = read_pairs::<T>([(key.as_str(), value.as_str())]) {
                let message = format!("{key} in {}: {error}", self.header());
                problems.push(with_unit_hint(Problem::new(file, *line, message), key, value));
                continue;
            }
            pairs.push((key.as_str(), value.as_str()));
        }
        match read_pairs(pairs) {
            Ok(settings) => (Some(settings), problems),
            Err(error) => {
                let message = format!("in {}: {error}", self.header());
                problems.push(Problem::new(file, self.line, message));
                (None, problems)
            }
        }
    }
}

/// Returns the settings of the only section of a kind, or the defaults where there is none; adds what is
/// wrong in it to `problems`.
pub fn read_single_section<T: DeserializeOwned + Default>(
    file: &str,
    sections: &[Section],
    kind: &str,
    problems: &mut Vec<Problem>,
) -> T {
    let Some(section) = sections.iter().find(|section| section.kind == kind) else {
        return T::default();
    };
    let (settings, found) = section.read_well_formed(file);
    problems.extend(found);
    settings.unwrap_or_default()
}

fn read_pairs<'a, T: DeserializeOwned>(
    pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<T, ValueError> {
    let values = pairs.into_iter().map(|(key, value)| (key, IniValue(value)));
    T::deserialize(MapDeserializer::<_, ValueError>::new(values))
}

fn with_unit_hint(problem: Problem, key: &str, value: &str) -> Problem {
    let bare = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    if bare && problem.message.contains("time unit") {
        return problem.hint(format!("write the unit, such as {key} = {value}s"));
    }
    problem
}
