//! How often a node's requests use prompt prefixes, and what of it is reported to other nodes.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::Stamp;

use crate::decaying_sum::DecayingSum;

/// The time constant of the rates. It is long enough for some uses of a hot prefix at a node with a few requests a second.
const AVERAGING_TIME: Duration = Duration::from_secs(5);
/// The shortest time that uses are taken to be spread over, so that the first few do not count as a high rate.
const MIN_TIME: Duration = Duration::from_secs(1);
/// The prefixes whose uses a node counts; the least used one gives way to a new one.
const MAX_COUNTED: usize = 256;
/// The prefixes whose uses a node reports.
const MAX_REPORTED: usize = 8;
/// The recent uses from which a prefix is reported, and those below which it no longer is. Every prefix is used once or
/// twice somewhere: reports of all of these took 2.5 KB/s a node at 83 nodes.
const REPORTED_USES: (f64, f64) = (2.7, 0.7);
/// The change, as a share of the rate, that is worth a report. Sums over nodes are more exact than each of them.
const WORTH_REPORTING: f64 = 0.5;
/// The smallest change that is worth a report, in uses per second.
const MIN_CHANGE: f64 = 0.2;
/// The bytes of a report of a prefix that other nodes know already, and of one with its name.
const REPORT_BYTES: (f64, f64) = (16.0, 44.0);
/// The bytes per second that a node's reports may take, and those that may be saved up for a burst.
const BYTE_BUDGET: (f64, f64) = (20.0, 200.0);
/// The uses per second of one prefix that one other node is believed at most. It bounds the effect of a false sum.
pub const MAX_NODE_RATE: f64 = 64.0;

/// A `UseReport` is a change of what a node reports of a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UseReport {
    /// The prefix.
    pub prefix: u64,
    /// Its uses per second; none if it is no longer reported.
    pub rate: Option<f64>,
}

/// `PrefixUses` are the uses of prompt prefixes by the requests of one node.
#[derive(Clone, Debug, Default)]
pub struct PrefixUses {
    uses: HashMap<u64, Uses>,
    reported: HashMap<u64, f64>,
    budget: f64,
    budget_at: Option<Stamp>,
}

/// The uses of one prefix.
#[derive(Clone, Copy, Debug)]
struct Uses {
    sum: DecayingSum,
    since: Stamp,
}

impl Uses {
    // Returns the uses per second, over the time since the first one if that is short: the decaying sum alone would
    // give too few homes until several time constants have passed.
    fn rate(&self, now: Stamp) -> f64 {
        let known = now.since(self.since).max(MIN_TIME).as_secs_f64();
        self.sum.rate(now) / (1.0 - (-known / AVERAGING_TIME.as_secs_f64()).exp())
    }
}

impl PrefixUses {
    /// Records a request with a prefix.
    pub fn note(&mut self, now: Stamp, prefix: u64) {
        if !self.uses.contains_key(&prefix) && MAX_COUNTED <= self.uses.len() {
            let rates = self.uses.iter().map(|(id, uses)| (uses.rate(now), *id));
            let least =
                rates.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
            self.uses.remove(&least.map_or(0, |(_, id)| id));
        }
        let uses = self.uses.entry(prefix);
        let uses =
            uses.or_insert_with(|| Uses { sum: DecayingSum::new(AVERAGING_TIME), since: now });
        uses.sum.add(now, 1.0);
    }

    /// Returns the uses of a prefix per second.
    pub fn rate(&self, now: Stamp, prefix: u64) -> f64 {
        self.uses.get(&prefix).map_or(0.0, |uses| uses.rate(now))
    }

    // Returns the number of recent uses of a prefix.
    fn recent(&self, now: Stamp, prefix: u64) -> f64 {
        self.uses.get(&prefix).map_or(0.0, |uses| uses.sum.sum(now))
    }

    /// Returns the changes to report now, the largest first, as far as the byte budget allows.
    pub fn due_reports(&mut self, now: Stamp) -> Vec<UseReport> {
        let (per_second, max) = BYTE_BUDGET;
        let elapsed = self.budget_at.map_or(Duration::MAX, |at| now.since(at)).as_secs_f64();
        self.budget = (self.budget + elapsed * per_second).min(max);
        self.budget_at = Some(now);
        let mut rates: Vec<(u64, f64)> =
            self.uses.iter().map(|(id, uses)| (*id, uses.rate(now))).collect();
        rates.sort_unstable_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(&other.0)));
        rates.truncate(MAX_REPORTED);
        let (min, kept) = REPORTED_USES;
        rates.retain(|(prefix, _)| {
            let min = if self.reported.contains_key(prefix) { kept } else { min };
            min <= self.recent(now, *prefix)
        });
        let mut due: Vec<(f64, UseReport)> = Vec::new();
        for &(prefix, rate) in &rates {
            let sent = self.reported.get(&prefix).copied().unwrap_or(0.0);
            let change = (rate - sent).abs();
            if MIN_CHANGE.max(WORTH_REPORTING * rate.max(sent)) <= change {
                due.push((change, UseReport { prefix, rate: Some(rate) }));
            }
        }
        for (&prefix, &sent) in &self.reported {
            // Prefixes near the bound of reported ones would otherwise alternate.
            let is_listed = rates.iter().any(|(id, _)| *id == prefix);
            if !is_listed && self.recent(now, prefix) < kept {
                due.push((sent, UseReport { prefix, rate: None }));
            }
        }
        due.sort_unstable_by(|one, other| {
            other.0.total_cmp(&one.0).then(one.1.prefix.cmp(&other.1.prefix))
        });
        let reports = due.into_iter().map(|(_, report)| report);
        reports.filter(|report| self.is_within_budget(*report)).collect()
    }

    fn is_within_budget(&mut self, report: UseReport) -> bool {
        let (known, named) = REPORT_BYTES;
        let is_new = !self.reported.contains_key(&report.prefix);
        let bytes = if is_new { named } else { known };
        if self.budget < bytes || (is_new && 2 * MAX_REPORTED <= self.reported.len()) {
            return false;
        }
        self.budget -= bytes;
        match report.rate {
            Some(rate) => self.reported.insert(report.prefix, rate),
            None => self.reported.remove(&report.prefix),
        };
        true
    }
}
