//! What a node knows of the speed of one backend server.

use bulrushhall_core::Stamp;
use bulrushhall_policy::server_speed::{
    ChangeStage, LinkOffset, OwnSpeed, ServicePrior, SlowMoment, SpeedEstimator, SpeedReport,
    VerdictChange,
};

/// The weight over all nodes from which an estimate tells what this node's link adds.
const MIN_LINK_KNOWN: f64 = 10.0;

/// A `QuantitySpeed` is the speed of one quantity: first tokens, pauses between events, or calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuantitySpeed {
    own: OwnSpeed,
    estimator: SpeedEstimator,
    stage: ChangeStage,
    count: u64,
    noted_at: Option<Stamp>,
}

/// A `BackendSpeed` is the speed of one incarnation of a backend server.
#[derive(Debug, Default)]
pub struct BackendSpeed {
    /// Its times to first token.
    pub first: QuantitySpeed,
    /// The times between its events.
    pub pause: QuantitySpeed,
    /// Its call times.
    pub call: QuantitySpeed,
    /// Whether it is slow right now.
    pub moment: SlowMoment,
    /// The verdict on it.
    pub verdict: VerdictChange,
}

impl QuantitySpeed {
    /// Records a time as a multiple of what the service's model expects.
    pub fn note(&mut self, now: Stamp, ratio: f64, weight: f64) {
        let known = (self.estimator.log(), self.estimator.known());
        self.own.note(now, ratio, weight, known);
        self.count += 1;
        self.noted_at = Some(now);
    }

    /// Records a time that depends on this node's link, of which `link` knows the offset.
    pub fn note_over(&mut self, link: &mut LinkOffset, now: Stamp, ratio: f64, weight: f64) {
        let own_ratio = ratio / link.factor(now);
        if MIN_LINK_KNOWN < self.estimator.known() {
            link.note(now, ratio, weight, self.estimator.log());
        }
        self.note(now, own_ratio, weight);
    }

    /// Takes in the sums over all nodes.
    pub fn update(&mut self, now: Stamp, merged: SpeedReport, prior: ServicePrior) {
        self.stage = self.estimator.update(now, merged, prior);
        if self.stage == ChangeStage::Changed {
            self.own.restart(now);
        }
    }

    /// Returns this node's report, and how important it is to send it instead of the one that was `sent`.
    pub fn due_report(
        &self,
        now: Stamp,
        sent: SpeedReport,
        merged: SpeedReport,
    ) -> (SpeedReport, f64) {
        let report = self.own.report(now);
        (report, report.importance(sent, merged, self.estimator.log(), self.stage))
    }

    /// Returns this node's report.
    pub fn own_report(&self, now: Stamp) -> SpeedReport {
        self.own.report(now)
    }

    /// Returns the time as a multiple of what the service's model expects.
    pub fn factor(&self) -> f64 {
        self.estimator.factor()
    }

    /// Returns the number of this node's samples and the time of the last one.
    pub fn own_samples(&self) -> (u64, Option<Stamp>) {
        (self.count, self.noted_at)
    }

    /// Returns the weight of the samples behind the factor.
    pub fn known(&self) -> f64 {
        self.estimator.known()
    }
}
