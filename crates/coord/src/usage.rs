//! Requests begun by each team in each window of time, over all nodes.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, TeamName};
use serde::{Deserialize, Serialize};

/// The windows that a node keeps: longer than any report may be late.
const WINDOWS_KEPT: u64 = 12;

/// The counts of one window by team.
pub type TeamCounts = BTreeMap<TeamName, u64>;

/// A `Window` is the number of a span of true time, counted since the start of 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window that holds a time of day, given as the time since 1970.
    pub fn at(time_of_day: Duration, length: Duration) -> Window {
        let length = length.as_millis().max(1);
        Window(u64::try_from(time_of_day.as_millis() / length).unwrap_or(u64::MAX))
    }
}

/// Returns by how much a node's time of day should be corrected, in milliseconds, given how far those of
/// the other nodes are ahead of it.
///
/// A node that starts while its time of day is wrong would count in windows of another time, and as the
/// holder of the duty fix reports of windows that have not ended. The middle of all nodes' times, its own
/// included, is right as long as most are.
pub fn correction(ahead: impl IntoIterator<Item = i64>) -> i64 {
    let mut ahead: Vec<i64> = ahead.into_iter().chain([0]).collect();
    ahead.sort_unstable();
    ahead[(ahead.len() - 1) / 2]
}

/// The `UsageCounts` of all nodes, each as that node told them last.
///
/// Counts of one life of a node only rise, so what is heard twice or in the wrong order is
/// harmless: the greatest count holds. Every node keeps the counts of all, so that those of a node
/// that dies are still reported, whoever reports them.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<Window, BTreeMap<Incarnation, TeamCounts>>,
}

impl UsageCounts {
    /// Counts one request that began to run.
    pub fn count(&mut self, window: Window, own: Incarnation, team: &TeamName) {
        let counts = self.windows.entry(window).or_default().entry(own).or_default();
        *counts.entry(team.clone()).or_default() += 1;
        self.forget_old();
    }

    /// Takes in what a node told of one window.
    pub fn merge(&mut self, window: Window, node: Incarnation, told: &TeamCounts) {
        let counts = self.windows.entry(window).or_default().entry(node).or_default();
        for (team, count) in told {
            let known = counts.entry(team.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.forget_old();
    }

    /// Returns the windows of one node, to be told to others.
    pub fn of(&self, node: Incarnation) -> Vec<(Window, TeamCounts)> {
        let mut told = Vec::new();
        for (window, nodes) in &self.windows {
            let Some(counts) = nodes.get(&node) else { continue };
            told.push((*window, counts.clone()));
        }
        told
    }

    /// Returns the counts of a window over all nodes.
    pub fn total(&self, window: Window) -> TeamCounts {
        let mut total = TeamCounts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (team, count) in counts {
                *total.entry(team.clone()).or_default() += count;
            }
        }
        total
    }

    fn forget_old(&mut self) {
        let Some((newest, _)) = self.windows.last_key_value() else { return };
        let oldest = Window(newest.0.saturating_sub(WINDOWS_KEPT));
        self.windows = self.windows.split_off(&oldest);
    }
}

/// The `FixedReports` are the reports that were decided in the key-value service, newest last.
///
/// Two holders of the duty may know different counts of one window. Each fixes its report here by
/// compare-and-swap before it sends anything, so whoever sends that window sends the same counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedReports {
    /// The counts of each fixed window.
    pub windows: BTreeMap<Window, TeamCounts>,
}

impl FixedReports {
    /// Returns the first window after those fixed that has ended; none while there is none.
    ///
    /// Windows older than `kept` are given up: their counts are no longer known anywhere.
    pub fn next(&self, last_ended: Window) -> Option<Window> {
        let oldest = Window(last_ended.0.saturating_sub(WINDOWS_KEPT / 2));
        let next = match self.windows.last_key_value() {
            Some((newest, _)) => Window(newest.0 + 1).max(oldest),
            None => last_ended,
        };
        (next <= last_ended).then_some(next)
    }

    /// Returns these reports with one more window, without the oldest.
    pub fn with(&self, window: Window, counts: TeamCounts) -> FixedReports {
        let mut windows = self.windows.clone();
        windows.insert(window, counts);
        let oldest = Window(window.0.saturating_sub(WINDOWS_KEPT));
        FixedReports { windows: windows.split_off(&oldest) }
    }
}
