//! What losses are counted by.

use std::str::FromStr;

use crate::account::EndedCall;

/// A `Grouping` is what the losses are counted by, besides their causes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Grouping {
    /// Nothing else.
    #[default]
    Cause,
    /// The team.
    Team,
    /// The route.
    Route,
    /// The second of the log line.
    Second,
    /// The log file.
    Node,
}

impl Grouping {
    /// The names of all groupings.
    pub const NAMES: [&str; 5] = ["cause", "team", "route", "second", "node"];

    /// Returns the group of a request that ended at `node`.
    pub fn key(self, node: &str, call: &EndedCall) -> String {
        match self {
            Grouping::Cause => String::new(),
            Grouping::Team => call.team.clone(),
            Grouping::Route => call.route.clone(),
            Grouping::Second => call.second().to_owned(),
            Grouping::Node => node.to_owned(),
        }
    }
}

impl FromStr for Grouping {
    type Err = String;

    fn from_str(name: &str) -> Result<Grouping, String> {
        Ok(match name {
            "cause" => Grouping::Cause,
            "team" => Grouping::Team,
            "route" => Grouping::Route,
            "second" => Grouping::Second,
            "node" => Grouping::Node,
            _ => return Err(format!("{name} is none of {}", Grouping::NAMES.join(", "))),
        })
    }
}
