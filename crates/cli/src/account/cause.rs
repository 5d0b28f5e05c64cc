//! Why a request was not answered in time.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::account::EndedCall;

/// The outcome of a request whose answer was forwarded completely.
const ANSWERED: &str = "answered";
/// The share of the target latency from which an expected wait counts as the cause of a late answer.
const QUEUED_SHARE: f64 = 0.5;

/// A `Cause` is the reason why a request was not answered in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The answer was late because earlier attempts had failed.
    LateAfterRetry,
    /// The answer was late, and a long wait was expected when it was placed.
    LateInQueue,
    /// The answer was late because of the work of the request itself: it was expected to be.
    LateByItsWork,
    /// The answer was late although it was expected to be in time.
    LateUnexpectedly,
    /// The first event was in time, and a later gap between two events was too long.
    LatePause,
    /// The request ended with an outcome other than an answer; holds the outcome's label.
    Outcome(String),
}

impl Cause {
    /// Returns why a request was not answered in time; none if it was, or if its route has no target.
    pub fn of(call: &EndedCall) -> Option<Cause> {
        if call.outcome != ANSWERED {
            return Some(Cause::Outcome(call.outcome.clone()));
        }
        let is_above = |value: Option<f64>, limit: Option<f64>| {
            value.zip(limit).is_some_and(|(value, limit)| limit < value)
        };
        if is_above(call.first_ms, call.target_ms) {
            return Some(Cause::of_late(call));
        }
        is_above(call.longest_gap_ms, call.target_gap_ms).then_some(Cause::LatePause)
    }

    fn of_late(call: &EndedCall) -> Cause {
        if 1 < call.sends {
            return Cause::LateAfterRetry;
        }
        let target = call.target_ms.unwrap_or(f64::INFINITY);
        if call.wait_ms.is_some_and(|wait| target * QUEUED_SHARE <= wait) {
            return Cause::LateInQueue;
        }
        if call.expected_ms.is_some_and(|expected| target <= expected) {
            return Cause::LateByItsWork;
        }
        Cause::LateUnexpectedly
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::LateAfterRetry => "late_after_retry",
            Cause::LateInQueue => "late_in_queue",
            Cause::LateByItsWork => "late_by_its_work",
            Cause::LateUnexpectedly => "late_unexpectedly",
            Cause::LatePause => "late_pause",
            Cause::Outcome(label) => label,
        })
    }
}

impl Serialize for Cause {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
