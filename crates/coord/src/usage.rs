//! Requests begun by each team in each window of time, over all nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{Incarnation, TeamName, ZoneName};
use serde::{Deserialize, Serialize};

/// The windows that a node keeps: longer than any report may be late.
const WINDOWS_KEPT: u64 = 12;
/// The windows whose counts still change: the one of this moment, and those before it for nodes whose times
/// of day differ and for messages that were lost.
const WINDOWS_NEWEST: usize = 3;

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
pub fn clock_correction(ahead: impl IntoIterator<Item = i64>) -> i64 {
    let mut ahead: Vec<i64> = ahead.into_iter().chain([0]).collect();
    ahead.sort_unstable();
    ahead[(ahead.len() - 1) / 2]
}

/// The `UsageCounts` of all nodes, as far as they were told.
///
/// Counts of one life of a node only rise, so what is heard twice or in the wrong order is
/// harmless: the greatest count holds. Every node keeps the counts of all, so that those of a node
/// that dies are still reported, whoever reports them. Where relays pass on sums, each sum is at most what
/// was begun, so the greatest holds there too.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<Window, WindowCounts>,
}

/// What is known of one window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    lives: BTreeMap<Incarnation, LifeCounts>,
    /// The sums of zones as their relays told them.
    zones: BTreeMap<ZoneName, TeamCounts>,
    /// The sum of all other nodes as a relay told it.
    others: TeamCounts,
}

/// The counts of one life of a node.
#[derive(Clone, Debug)]
struct LifeCounts {
    zone: ZoneName,
    counts: TeamCounts,
}

/// A `UsageScope` tells whose counts are taken in.
#[derive(Clone, Copy, Debug)]
pub enum UsageScope<'a> {
    /// One life of a node in an availability zone.
    Incarnation(Incarnation, &'a ZoneName),
    /// All nodes of an availability zone.
    Zone(&'a ZoneName),
    /// All nodes but this one.
    Others,
}

/// Which windows are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowSelection {
    /// The newest ones, whose counts still change.
    Newest,
    /// All that are kept, for nodes that started or lost messages.
    All,
}

impl UsageCounts {
    /// Counts one request that began to run at this node.
    pub fn count(&mut self, window: Window, own: Incarnation, zone: &ZoneName, team: &TeamName) {
        let counts = self.life(window, own, zone);
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => drop(counts.insert(team.clone(), 1)),
        }
        self.forget_old();
    }

    /// Takes in what was told of one window.
    pub fn merge(&mut self, window: Window, of: UsageScope<'_>, told: &TeamCounts) {
        let known = match of {
            UsageScope::Incarnation(life, zone) => self.life(window, life, zone),
            UsageScope::Zone(zone) => {
                let zones = &mut self.windows.entry(window).or_default().zones;
                zones.entry(zone.clone()).or_default()
            }
            UsageScope::Others => &mut self.windows.entry(window).or_default().others,
        };
        raise(known, told);
        self.forget_old();
    }

    fn life(&mut self, window: Window, life: Incarnation, zone: &ZoneName) -> &mut TeamCounts {
        let lives = &mut self.windows.entry(window).or_default().lives;
        let new = || LifeCounts { zone: zone.clone(), counts: TeamCounts::new() };
        &mut lives.entry(life).or_insert_with(new).counts
    }

    /// Returns the windows of one life of a node, to be told to others.
    pub fn of(&self, life: Incarnation, which: WindowSelection) -> Vec<(Window, TeamCounts)> {
        self.told(which, |window| {
            window.lives.get(&life).map_or_else(TeamCounts::new, |known| known.counts.clone())
        })
    }

    /// Returns the windows of all nodes of a zone, to be told to other zones.
    pub fn of_zone(&self, zone: &ZoneName, which: WindowSelection) -> Vec<(Window, TeamCounts)> {
        self.told(which, |window| window.of_zone(zone, None))
    }

    /// Returns the windows of all nodes but one life, to be told to that one.
    pub fn of_others(
        &self,
        life: Incarnation,
        which: WindowSelection,
    ) -> Vec<(Window, TeamCounts)> {
        self.told(which, |window| window.of_all(Some(life)))
    }

    fn told(
        &self,
        which: WindowSelection,
        counts: impl Fn(&WindowCounts) -> TeamCounts,
    ) -> Vec<(Window, TeamCounts)> {
        let most = if which == WindowSelection::All { usize::MAX } else { WINDOWS_NEWEST };
        let mut told = Vec::new();
        for (window, known) in self.windows.iter().rev().take(most) {
            let counts = counts(known);
            if !counts.is_empty() {
                told.push((*window, counts));
            }
        }
        told.reverse();
        told
    }

    /// Returns the counts of a window over all nodes; `own` is this life of this node.
    pub fn total(&self, window: Window, own: Incarnation) -> TeamCounts {
        let Some(known) = self.windows.get(&window) else { return TeamCounts::new() };
        let mut total = known.of_all(None);
        let mut by_relay = known.others.clone();
        if let Some(own) = known.lives.get(&own) {
            add(&mut by_relay, &own.counts);
        }
        raise(&mut total, &by_relay);
        total
    }

    fn forget_old(&mut self) {
        let Some((newest, _)) = self.windows.last_key_value() else { return };
        let oldest = Window(newest.0.saturating_sub(WINDOWS_KEPT));
        if self.windows.first_key_value().is_some_and(|(first, _)| *first < oldest) {
            self.windows = self.windows.split_off(&oldest);
        }
    }
}

impl WindowCounts {
    fn of_zone(&self, zone: &ZoneName, except: Option<Incarnation>) -> TeamCounts {
        let mut sum = TeamCounts::new();
        // A relay's sum of the zone has the counts of the life that is left out.
        let mut told = self.zones.get(zone);
        for (life, known) in &self.lives {
            if known.zone != *zone {
                continue;
            }
            if Some(*life) == except {
                told = None;
                continue;
            }
            add(&mut sum, &known.counts);
        }
        if let Some(told) = told {
            raise(&mut sum, told);
        }
        sum
    }

    fn of_all(&self, except: Option<Incarnation>) -> TeamCounts {
        let of_lives = self.lives.values().map(|known| &known.zone);
        let zones: BTreeSet<&ZoneName> = of_lives.chain(self.zones.keys()).collect();
        let mut sum = TeamCounts::new();
        for zone in zones {
            add(&mut sum, &self.of_zone(zone, except));
        }
        sum
    }
}

fn add(sum: &mut TeamCounts, counts: &TeamCounts) {
    for (team, count) in counts {
        *sum.entry(team.clone()).or_default() += count;
    }
}

fn raise(known: &mut TeamCounts, told: &TeamCounts) {
    for (team, count) in told {
        let known = known.entry(team.clone()).or_default();
        *known = (*known).max(*count);
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
