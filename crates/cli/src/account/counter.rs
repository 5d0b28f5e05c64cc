//! Counting of the requests that were not answered in time.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::account::{Cause, EndedCall, Grouping, LossGroup, LossReport, SkippedLines};

/// A `LossCounter` collects the requests of a report.
#[derive(Debug, Default)]
pub struct LossCounter {
    grouping: Grouping,
    ended: u64,
    in_time: u64,
    losses: BTreeMap<(String, Cause), Sums>,
}

#[derive(Clone, Debug, Default)]
struct Sums {
    requests: u64,
    wait: Mean,
    expected: Mean,
    first: Mean,
    after: Mean,
    candidates: Mean,
    config_age: Mean,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    count: u64,
}

impl Mean {
    fn note(&mut self, value: Option<f64>) {
        let Some(value) = value else { return };
        self.sum += value;
        self.count += 1;
    }

    fn value(self) -> Option<f64> {
        (0 < self.count).then(|| self.sum / self.count as f64)
    }
}

impl LossCounter {
    /// Returns a counter without requests.
    pub fn new(grouping: Grouping) -> LossCounter {
        LossCounter { grouping, ..LossCounter::default() }
    }

    /// Counts a request that ended at `node`.
    pub fn note(&mut self, node: &str, call: &EndedCall) {
        self.ended += 1;
        let Some(cause) = Cause::of(call) else {
            self.in_time += 1;
            return;
        };
        let sums = self.losses.entry((self.grouping.key(node, call), cause)).or_default();
        sums.requests += 1;
        sums.wait.note(call.wait_ms);
        sums.expected.note(call.expected_ms);
        sums.first.note(call.first_ms);
        sums.after.note(call.after_ms);
        // A request that was refused before it was placed had no servers to choose from.
        sums.candidates.note((0 < call.candidates).then_some(call.candidates as f64));
        sums.config_age.note(call.config_age_ms);
    }

    /// Returns the report.
    pub fn report(self, skipped: SkippedLines) -> LossReport {
        let mut losses = Vec::new();
        for ((group, cause), sums) in self.losses {
            losses.push(LossGroup {
                group,
                cause,
                requests: sums.requests,
                wait_ms: sums.wait.value(),
                expected_ms: sums.expected.value(),
                first_ms: sums.first.value(),
                after_ms: sums.after.value(),
                candidates: sums.candidates.value(),
                config_age_ms: sums.config_age.value(),
            });
        }
        if self.grouping != Grouping::Second {
            losses.sort_by_key(|loss| Reverse(loss.requests));
        }
        LossReport { ended: self.ended, in_time: self.in_time, losses, skipped }
    }
}
