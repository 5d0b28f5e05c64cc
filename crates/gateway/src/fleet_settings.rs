//! The settings for the number of engines that a node orders for a demand.

use std::time::Duration;

use bulrushhall_core::config::{Problem, Section};
use bulrushhall_policy::fleet_counts::SizingRule;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The minimum of the planned utilization of engines: below it, a fleet would have more than ten times the
/// engines that its demand needs.
const MIN_USED: f64 = 0.1;
/// The maximum of the times for which a demand is kept, in starts of an engine.
const MAX_STARTS: f64 = 100.0;
/// The maximum number of engines that are added for a demand of one.
const MAX_SPREAD: f64 = 10.0;
/// The maximum of the time in which queued work is to be done: more than any engine takes to start.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(60);

/// `FleetSettings` are the settings for the number of engines that a node orders for a demand.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// The maximum planned utilization of an engine, as a fraction of its time.
    #[serde_as(as = "DisplayFromStr")]
    pub used_most: f64,
    /// The spare engines, as a multiple of the square root of the number of busy ones.
    #[serde_as(as = "DisplayFromStr")]
    pub spread: f64,
    /// The time for which reclaimable engines are kept for the highest demand, in starts of an engine.
    #[serde_as(as = "DisplayFromStr")]
    pub kept_starts: f64,
    /// The time for which on-demand engines are kept for the highest demand, in starts of an engine.
    #[serde_as(as = "DisplayFromStr")]
    pub stand_in_starts: f64,
    /// Whether the engines that a demand needs are determined by the latency models of all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub shared_model: bool,
    /// The time in which additional engines are to do the work that is queued at engines; 0 if it does not count.
    #[serde_as(as = "DisplayFromStr")]
    pub backlog_time: humantime::Duration,
}

impl FleetSettings {
    /// Returns the rule for the number of engines.
    pub fn sizing_rule(&self) -> SizingRule {
        let FleetSettings { used_most, spread, kept_starts, stand_in_starts, .. } = *self;
        SizingRule { used_most, spread, kept_starts, stand_in_starts }
    }

    /// Returns the values that are out of range.
    ///
    /// A utilization of 0 would order all engines that are available, and NaN would order none.
    pub fn problems(&self, file: &str, sections: &[Section]) -> Vec<Problem> {
        let mut problems = Vec::new();
        let Some(section) = sections.iter().find(|section| section.kind == "fleet") else {
            return problems;
        };
        for (key, value, min, max) in [
            ("used_most", self.used_most, MIN_USED, 1.0),
            ("spread", self.spread, 0.0, MAX_SPREAD),
            ("kept_starts", self.kept_starts, 0.0, MAX_STARTS),
            ("stand_in_starts", self.stand_in_starts, 0.0, MAX_STARTS),
        ] {
            if (min..=max).contains(&value) {
                continue;
            }
            let message = format!("{key} = {value} is not between {min} and {max}");
            problems.push(Problem::new(file, section.line_of(key), message));
        }
        if MAX_BACKLOG_TIME < *self.backlog_time {
            let message = format!("backlog_time = {} is above 1m", self.backlog_time);
            problems.push(Problem::new(file, section.line_of("backlog_time"), message));
        }
        problems
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        let SizingRule { used_most, spread, kept_starts, stand_in_starts } = SizingRule::default();
        FleetSettings {
            used_most,
            spread,
            kept_starts,
            stand_in_starts,
            shared_model: false,
            backlog_time: Duration::ZERO.into(),
        }
    }
}
