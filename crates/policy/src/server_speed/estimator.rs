//! A server's speed from the decaying sums of all nodes.

use std::time::Duration;

use bulrushhall_core::Stamp;

use crate::server_speed::{MAX_LOG, ServicePrior, SpeedReport, SpeedSums};

/// How long recent samples have to deviate before the speed counts as changed. A brief slowdown of 0.6 s is visible for 1.2 s
/// in the recent sums if it is followed by few samples.
const MIN_CHANGE: Duration = Duration::from_millis(1_400);
/// How long a deviation is kept in mind without samples.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// The deviation of recent samples that may be a change, as a log ratio.
const MIN_DEVIATION: f64 = 0.2;
/// The deviation in standard errors that may be a change.
const MIN_STANDARD_ERRORS: f64 = 2.0;
/// The minimum weight of recent samples for a change.
const MIN_RECENT: f64 = 1.0;
/// How long the estimate rests on the recent samples after a change: until the sums of all nodes follow.
const SETTLING: Duration = Duration::from_millis(1_500);

/// A `ChangeStage` tells whether a server's speed is changing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChangeStage {
    /// The speed has not changed.
    #[default]
    Steady,
    /// Recent samples deviate; it is not known yet whether for long.
    Deviating,
    /// The speed has changed in this update: the node has to replace its lasting samples by the recent ones.
    Changed,
    /// The nodes replace their lasting samples.
    Settling,
}

/// A `SpeedEstimator` estimates one quantity of one server by empirical Bayes on the sums of all nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimator {
    log: f64,
    known: f64,
    deviates_since: Option<(Stamp, bool)>,
    settles_until: Option<Stamp>,
}

impl SpeedEstimator {
    /// Takes in the sums over all nodes.
    pub fn update(&mut self, now: Stamp, merged: SpeedReport, prior: ServicePrior) -> ChangeStage {
        let SpeedReport { lasting, recent } = merged;
        self.known = lasting.weight;
        if let Some(until) = self.settles_until {
            if now < until {
                self.log = prior.shrunk(newer_only(lasting, recent)).clamp(-MAX_LOG, MAX_LOG);
                return ChangeStage::Settling;
            }
            self.settles_until = None;
        }
        self.log = prior.shrunk(lasting).clamp(-MAX_LOG, MAX_LOG);
        let deviation = recent.mean() - self.log;
        let error = (prior.within / recent.weight.max(MIN_RECENT)).sqrt();
        let deviates = MIN_RECENT <= recent.weight
            && MIN_DEVIATION < deviation.abs()
            && MIN_STANDARD_ERRORS * error < deviation.abs();
        if !deviates {
            // A pause without samples says nothing; a brief slowdown ends in it all the same, since its samples fade.
            let is_pause = recent.weight < MIN_RECENT;
            let lasts = |(since, _): &(Stamp, bool)| is_pause && now.since(*since) < MAX_PAUSE;
            self.deviates_since = self.deviates_since.filter(lasts);
            return ChangeStage::Steady;
        }
        let is_slower = 0.0 < deviation;
        match self.deviates_since {
            Some((since, was_slower)) if was_slower == is_slower => {
                if now.since(since) < MIN_CHANGE {
                    return ChangeStage::Deviating;
                }
                self.deviates_since = None;
                self.settles_until = Some(now + SETTLING);
                self.log = prior.shrunk(recent).clamp(-MAX_LOG, MAX_LOG);
                ChangeStage::Changed
            }
            _ => {
                self.deviates_since = Some((now, is_slower));
                ChangeStage::Deviating
            }
        }
    }

    /// Returns the estimated log ratio.
    pub fn log(&self) -> f64 {
        self.log
    }

    /// Returns the estimated time as a multiple of what the service's model expects.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the weight of the samples behind the estimate.
    pub fn known(&self) -> f64 {
        self.known
    }
}

// Until all nodes have dropped their samples from before a change, the recent ones are used unless the lasting ones agree.
fn newer_only(lasting: SpeedSums, recent: SpeedSums) -> SpeedSums {
    let agrees = (lasting.mean() - recent.mean()).abs() < MIN_DEVIATION / 4.0;
    if agrees || recent.weight < MIN_RECENT { lasting } else { recent }
}
