//! How many engines a node orders for a demand, as its INI file tells.

use bulrushhall_core::config::{Problem, Section};
use bulrushhall_policy::fleet_counts::SizingRule;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The least part of an engine's time that may be planned to be used: below it a fleet would be ten
/// times what its demand needs.
const USED_LEAST: f64 = 0.1;
/// The most starts of an engine that a demand may be kept for.
const STARTS_MOST: f64 = 100.0;
/// The most engines that may be added for a demand of one.
const SPREAD_MOST: f64 = 10.0;

/// `FleetSettings` tell how many engines a node orders for a demand.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// The part of an engine's time that is used at most.
    #[serde_as(as = "DisplayFromStr")]
    pub used_most: f64,
    /// How many engines more are needed than are busy, in square roots of these.
    #[serde_as(as = "DisplayFromStr")]
    pub spread: f64,
    /// How many starts of an engine the highest demand is kept for in reclaimable ones.
    #[serde_as(as = "DisplayFromStr")]
    pub kept_starts: f64,
    /// How many starts of an engine the highest demand is kept for in on-demand ones.
    #[serde_as(as = "DisplayFromStr")]
    pub stand_in_starts: f64,
}

impl FleetSettings {
    /// Returns how many engines a demand needs.
    pub fn sizing_rule(&self) -> SizingRule {
        let FleetSettings { used_most, spread, kept_starts, stand_in_starts } = *self;
        SizingRule { used_most, spread, kept_starts, stand_in_starts }
    }

    /// Returns what is wrong with the values.
    ///
    /// A part of 0 would order all engines there are, and one that is no number none at all.
    pub fn problems(&self, file: &str, sections: &[Section]) -> Vec<Problem> {
        let mut problems = Vec::new();
        let Some(section) = sections.iter().find(|section| section.kind == "fleet") else {
            return problems;
        };
        for (key, value, least, most) in [
            ("used_most", self.used_most, USED_LEAST, 1.0),
            ("spread", self.spread, 0.0, SPREAD_MOST),
            ("kept_starts", self.kept_starts, 0.0, STARTS_MOST),
            ("stand_in_starts", self.stand_in_starts, 0.0, STARTS_MOST),
        ] {
            if (least..=most).contains(&value) {
                continue;
            }
            let message = format!("{key} = {value} is not between {least} and {most}");
            problems.push(Problem::new(file, section.line_of(key), message));
        }
        problems
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        let SizingRule { used_most, spread, kept_starts, stand_in_starts } = SizingRule::default();
        FleetSettings { used_most, spread, kept_starts, stand_in_starts }
    }
}
