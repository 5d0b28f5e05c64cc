//! What one node reports of a server's speed.

use crate::server_speed::{ChangeStage, MAX_LOG, SpeedSums};

/// The numbers of a report on the wire.
pub const REPORT_NUMBERS: usize = 5;
/// The greatest amount of a number that one node reports.
pub const MAX_REPORT_NUMBER: f64 = MAX_NODE_WEIGHT * MAX_LOG * MAX_LOG * WIRE_SCALE;
/// The parts of 1 on the wire, where integers take fewer bytes than fractions.
const WIRE_SCALE: f64 = 64.0;
/// The maximum weight of one node's lasting samples: it bounds the effect of a node with false sums.
const MAX_NODE_WEIGHT: f64 = 8.0;
/// The maximum weight of one node's recent samples.
const MAX_NODE_RECENT: f64 = 4.0;
/// The weight over all nodes from which a server counts as known: single samples that agree are then not worth a message.
const KNOWN_WEIGHT: f64 = 12.0;
/// The change of the mean over all nodes, as a log ratio, that is worth a message.
const MEAN_TOLERANCE: f64 = 0.03;
/// The weight of samples without a message, relative to the weight over all nodes, that is worth one.
const WEIGHT_TOLERANCE: f64 = 0.15;
/// The deviation of recent samples from the estimate, as weight times log ratio, that is worth a message.
const RECENT_TOLERANCE: f64 = 0.3;
/// The share of reported recent samples below which the rest is worth a message.
const FADED_SHARE: f64 = 0.4;
/// The reported recent weight above which its fading is worth a message.
const MIN_FADED_WEIGHT: f64 = 0.3;

/// A `SpeedReport` holds the sums of one quantity of one server, of one node or added over several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedReport {
    /// The samples of the last tens of seconds, of which outliers are clipped.
    pub lasting: SpeedSums,
    /// The samples of the last second, as they were measured.
    pub recent: SpeedSums,
}

impl SpeedReport {
    /// Returns the report over the samples of both.
    pub fn plus(self, other: SpeedReport) -> SpeedReport {
        SpeedReport {
            lasting: self.lasting.plus(other.lasting),
            recent: self.recent.plus(other.recent),
        }
    }

    /// Returns the report without the samples of `other`.
    pub fn minus(self, other: SpeedReport) -> SpeedReport {
        SpeedReport {
            lasting: self.lasting.minus(other.lasting),
            recent: self.recent.minus(other.recent),
        }
    }

    /// Returns the report with the weights that `nodes` nodes can have at most.
    pub fn bounded(self, nodes: usize) -> SpeedReport {
        let nodes = nodes as f64;
        SpeedReport {
            lasting: self.lasting.bounded(MAX_NODE_WEIGHT * nodes),
            recent: self.recent.bounded(MAX_NODE_RECENT * nodes),
        }
    }

    /// Returns its numbers on the wire, which are integers.
    pub fn numbers(self) -> [f64; REPORT_NUMBERS] {
        let SpeedReport { lasting, recent } = self;
        [lasting.weight, lasting.sum, lasting.squares, recent.weight, recent.sum]
            .map(|number| (number * WIRE_SCALE).round())
    }

    /// Returns the report with these numbers; none if there are too few.
    pub fn from_numbers(numbers: &[f64]) -> Option<SpeedReport> {
        let &[weight, sum, squares, recent_weight, recent_sum] = numbers.get(..REPORT_NUMBERS)?
        else {
            return None;
        };
        let numbers = [weight, sum, squares, recent_weight, recent_sum];
        let [weight, sum, squares, recent_weight, recent_sum] =
            numbers.map(|number| number / WIRE_SCALE);
        let recent_squares =
            if 0.0 < recent_weight { recent_sum * recent_sum / recent_weight } else { 0.0 };
        let recent = SpeedSums { weight: recent_weight, sum: recent_sum, squares: recent_squares };
        Some(SpeedReport { lasting: SpeedSums { weight, sum, squares }, recent })
    }

    /// Returns how important it is that this report replaces the one that was `sent` before: it is worth a message from 1 on,
    /// and the more important the higher.
    ///
    /// `merged` is the report over all nodes, `log` the estimate. While other nodes see a change, all recent samples are
    /// sent: the deviating ones alone would confirm it. What was sent from before a change is withdrawn in any case.
    pub fn importance(
        self,
        sent: SpeedReport,
        merged: SpeedReport,
        log: f64,
        stage: ChangeStage,
    ) -> f64 {
        let added = self.lasting.weight - sent.lasting.weight;
        if stage == ChangeStage::Settling && added < -0.5 * sent.lasting.weight && added < -0.1 {
            return 10.0 - added;
        }
        let known = merged.lasting.weight;
        if known < KNOWN_WEIGHT && 0.2 < added {
            return 4.0 + added;
        }
        let recent = self.recent.minus(sent.recent);
        if stage != ChangeStage::Steady && 0.3 < recent.weight.abs() {
            return 3.0 + recent.weight.abs();
        }
        let shift = (self.lasting.sum - sent.lasting.sum) - log * added;
        let faded = if self.recent.weight < sent.recent.weight * FADED_SHARE {
            sent.recent.weight / MIN_FADED_WEIGHT
        } else {
            0.0
        };
        (shift.abs() / (MEAN_TOLERANCE * known))
            .max(added / (WEIGHT_TOLERANCE * known))
            .max((recent.sum - log * recent.weight).abs() / RECENT_TOLERANCE)
            .max(faded)
    }
}
