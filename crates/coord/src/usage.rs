//! Counts of requests started by each team in each time window, over all nodes.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Era, Incarnation, TeamName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::node_counts::{CountScope, NodeCounts};

/// The number of windows before the newest that are kept: more than any report may be delayed.
pub const RETAINED_WINDOWS: u64 = 12;
/// The number of newest windows whose counts may still change: the current one, and earlier ones as
/// wall clocks of nodes differ and messages are lost.
const NEWEST_WINDOWS: usize = 3;

/// The counts of one window by team.
pub type TeamCounts = BTreeMap<TeamName, u64>;

/// A `Window` is the index of a fixed span of wall-clock time since the start of 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window of a wall-clock time, given as the time since 1970.
    pub fn at(wall_clock: Duration, length: Duration) -> Window {
        let length = length.as_millis().max(1);
        Window(u64::try_from(wall_clock.as_millis() / length).unwrap_or(u64::MAX))
    }
}

/// Returns the correction of a node's wall clock in milliseconds, given how far those of the other
/// nodes are ahead of it.
///
/// A node that starts with a wrong wall clock would count in windows of another time, and as the
/// holder of the duty would fix reports of windows that have not ended. The median of all nodes'
/// clocks, its own included, is right as long as most of them are.
pub fn clock_correction(ahead: impl IntoIterator<Item = i64>) -> i64 {
    let mut ahead: Vec<i64> = ahead.into_iter().chain([0]).collect();
    ahead.sort_unstable();
    ahead[(ahead.len() - 1) / 2]
}

/// The `UsageCounts` are the counts of all nodes by window, as far as this node has received them.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<Window, NodeCounts<TeamName, u64>>,
}

/// A `WindowSelection` determines which windows are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowSelection {
    /// The newest ones, whose counts may still change.
    Newest,
    /// All that are kept, for nodes that have started or have lost messages.
    All,
}

impl UsageCounts {
    /// Counts one request that this node has started.
    pub fn count(&mut self, window: Window, own: Incarnation, zone: &ZoneName, team: &TeamName) {
        let counts = self.windows.entry(window).or_default().counts_mut(own, zone);
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => drop(counts.insert(team.clone(), 1)),
        }
        self.drop_old();
    }

    /// Merges the received counts of one window.
    pub fn merge(&mut self, window: Window, of: CountScope<'_>, received: &TeamCounts) {
        self.windows.entry(window).or_default().merge(of, received);
        self.drop_old();
    }

    /// Returns the counts of one incarnation by window, to be sent to other nodes.
    pub fn of(
        &self,
        incarnation: Incarnation,
        which: WindowSelection,
    ) -> Vec<(Window, TeamCounts)> {
        self.report(which, |window| window.of(incarnation))
    }

    /// Returns the counts of all nodes of a zone by window, to be sent to other zones.
    pub fn of_zone(&self, zone: &ZoneName, which: WindowSelection) -> Vec<(Window, TeamCounts)> {
        self.report(which, |window| window.of_zone(zone, None))
    }

    /// Returns the counts of all nodes except one incarnation by window, to be sent to that one.
    pub fn of_others(
        &self,
        incarnation: Incarnation,
        which: WindowSelection,
    ) -> Vec<(Window, TeamCounts)> {
        self.report(which, |window| window.of_all(Some(incarnation)))
    }

    fn report(
        &self,
        which: WindowSelection,
        counts: impl Fn(&NodeCounts<TeamName, u64>) -> TeamCounts,
    ) -> Vec<(Window, TeamCounts)> {
        let max_windows = if which == WindowSelection::All { usize::MAX } else { NEWEST_WINDOWS };
        let mut report = Vec::new();
        for (window, known) in self.windows.iter().rev().take(max_windows) {
            let counts = counts(known);
            if !counts.is_empty() {
                report.push((*window, counts));
            }
        }
        report.reverse();
        report
    }

    /// Returns the counts of a window over all nodes; `own` is the incarnation of this node.
    pub fn total(&self, window: Window, own: Incarnation) -> TeamCounts {
        self.windows.get(&window).map_or_else(TeamCounts::new, |known| known.total(own))
    }

    /// Returns the oldest window with counts.
    pub fn oldest(&self) -> Option<Window> {
        self.windows.first_key_value().map(|(window, _)| *window)
    }

    fn drop_old(&mut self) {
        let Some((newest, _)) = self.windows.last_key_value() else { return };
        let oldest = Window(newest.0.saturating_sub(RETAINED_WINDOWS));
        if self.windows.first_key_value().is_some_and(|(first, _)| *first < oldest) {
            self.windows = self.windows.split_off(&oldest);
        }
    }
}

/// The `FixedReports` are the reports that have been fixed in the key-value service, newest last.
///
/// Two holders of the duty may know different counts of one window. A holder fixes its report here
/// by compare-and-swap before it sends anything, so every holder sends the same counts for that
/// window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FixedReports {
    /// The counts of each fixed window.
    pub windows: BTreeMap<Window, TeamCounts>,
    /// The era of the key-value service in which they were fixed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The newest window that an earlier era may have fixed and lost; it is never fixed again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_until: Option<Window>,
}

impl FixedReports {
    /// Returns the first window after the fixed ones that has ended, if there is one.
    ///
    /// Windows older than half of the retained ones are skipped, since nodes do not keep their counts
    /// for much longer.
    pub fn next(&self, last_ended: Window) -> Option<Window> {
        let oldest = Window(last_ended.0.saturating_sub(RETAINED_WINDOWS / 2));
        let next = match self.windows.last_key_value() {
            Some((newest, _)) => Window(newest.0.saturating_add(1)).max(oldest),
            None => last_ended,
        };
        let next = self.lost_until.map_or(next, |lost| next.max(Window(lost.0.saturating_add(1))));
        (next <= last_ended).then_some(next)
    }

    /// Returns the next window like [`next`](Self::next). If no window was ever fixed, it is the oldest one that has been
    /// counted: a node may hold the duty only some time after requests have begun.
    pub fn next_counted(&self, oldest: Option<Window>, last_ended: Window) -> Option<Window> {
        let next = self.next(last_ended);
        if !self.windows.is_empty() || self.lost_until.is_some() {
            return next;
        }
        let first = Window(last_ended.0.saturating_sub(RETAINED_WINDOWS / 2));
        next.map(|next| oldest.map_or(next, |oldest| oldest.max(first).min(next)))
    }

    /// Returns these reports with `window` added and the oldest windows dropped.
    pub fn with(&self, window: Window, counts: TeamCounts) -> FixedReports {
        let mut windows = self.windows.clone();
        windows.insert(window, counts);
        let oldest = Window(window.0.saturating_sub(RETAINED_WINDOWS));
        FixedReports { windows: windows.split_off(&oldest), ..self.clone() }
    }

    /// Returns whether newer reports may have been lost, for a node that has seen no restore itself
    /// and that started after others: these were fixed in another era than `era`, or there are none
    /// although there have been earlier eras.
    pub fn may_be_restored(&self, era: Option<Era>) -> bool {
        let had_restores = era.is_some_and(|era| Era(0) < era);
        (had_restores && self.windows.is_empty()) || self.is_of_other_era(era)
    }

    /// Returns whether these reports were fixed in another era than `era`.
    pub fn is_of_other_era(&self, era: Option<Era>) -> bool {
        self.era.is_some() && self.era != era
    }

    /// Returns whether these reports were fixed in the era right before `era`.
    pub fn is_of_era_before(&self, era: Option<Era>) -> bool {
        let (Some(own), Some(era)) = (self.era, era) else { return false };
        own.0.checked_add(1) == Some(era.0)
    }

    /// Returns these reports for the era `era`, after the service was restored from an older copy.
    ///
    /// `known` are the reports of a node that held the duty until the restore: they are complete.
    /// Without them, all windows up to `last_ended` may have been fixed and sent with counts that no
    /// one remembers. They are not fixed again, as a second report could differ from the first.
    pub fn restored(
        &self,
        era: Option<Era>,
        known: Option<&FixedReports>,
        last_ended: Window,
    ) -> FixedReports {
        let mut restored = self.clone();
        restored.era = era;
        match known {
            Some(known) => {
                let windows = known.windows.iter();
                restored.windows.extend(windows.map(|(window, counts)| (*window, counts.clone())));
                restored.lost_until = restored.lost_until.max(known.lost_until);
            }
            None => restored.lost_until = restored.lost_until.max(Some(last_ended)),
        }
        restored
    }
}
