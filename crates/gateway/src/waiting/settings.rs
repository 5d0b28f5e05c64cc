//! The settings for the queue of requests that no engine can start soon.

use bulrushhall_core::config::{Problem, Section};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::waiting::TeamWeightList;

/// The bounds of a team's weight.
const WEIGHTS: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// The number of priorities; this value of `late_priority` stands for none of them.
const PRIORITIES: u8 = 10;

/// `WaitingSettings` are the settings for the queue of requests that no engine can start soon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaitingSettings {
    /// Whether requests for engines are queued at the node.
    #[serde_as(as = "DisplayFromStr")]
    pub enabled: bool,
    /// The weights of teams while engines are short.
    #[serde_as(as = "DisplayFromStr")]
    pub weights: TeamWeightList,
    /// The priority from which answers still have value after their target latency.
    #[serde_as(as = "DisplayFromStr")]
    pub late_priority: u8,
}

impl WaitingSettings {
    /// Returns the values that are out of range.
    pub fn problems(&self, file: &str, sections: &[Section]) -> Vec<Problem> {
        let mut problems = Vec::new();
        let Some(section) = sections.iter().find(|section| section.kind == "waiting") else {
            return problems;
        };
        for (team, weight) in &self.weights.0 {
            if WEIGHTS.contains(weight) {
                continue;
            }
            let (min, max) = (WEIGHTS.start(), WEIGHTS.end());
            let message = format!("weights: {weight} of {team} is not between {min} and {max}");
            problems.push(Problem::new(file, section.line_of("weights"), message));
        }
        if PRIORITIES < self.late_priority {
            let message =
                format!("late_priority = {} is not between 0 and {PRIORITIES}", self.late_priority);
            problems.push(Problem::new(file, section.line_of("late_priority"), message));
        }
        problems
    }
}

impl Default for WaitingSettings {
    fn default() -> Self {
        WaitingSettings {
            enabled: false,
            weights: TeamWeightList::default(),
            late_priority: PRIORITIES,
        }
    }
}
