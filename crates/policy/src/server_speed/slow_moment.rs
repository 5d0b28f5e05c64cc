//! Whether a server is slow right now, by the calls of this node that are pending there.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;

/// The factor over the expected time from which a call shows a slow moment: 95 of 100 calls are shorter.
const SLOW_FACTOR: f64 = 1.8;
/// The bound of the factor: a call that is pending for longer has failed rather than met a slow moment.
const MAX_FACTOR: f64 = 4.0;
/// How fast the evidence of an answered slow call fades: slow moments last about 0.6 s, and half of that is left on average.
const FADING: Duration = Duration::from_millis(300);

/// A `PendingCall` names a call that has been sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingCall(u64);

/// A `SlowMoment` holds the pending calls of one node at one server, and the last slow one.
#[derive(Clone, Debug, Default)]
pub struct SlowMoment {
    last: u64,
    pending: BTreeMap<PendingCall, Stamp>,
    slow: Option<(Stamp, f64)>,
}

impl SlowMoment {
    /// Records that a call was sent.
    pub fn begin(&mut self, now: Stamp) -> PendingCall {
        self.last += 1;
        let call = PendingCall(self.last);
        self.pending.insert(call, now);
        call
    }

    /// Records that a call was answered; `expected` is the time that it should have taken. Unknown calls are ignored.
    pub fn answered(&mut self, now: Stamp, call: PendingCall, expected: Duration) {
        let Some(sent) = self.pending.remove(&call) else { return };
        let factor = factor(now.since(sent), expected);
        // A usual answer to a call that was sent after the slow one shows that the moment is over.
        if SLOW_FACTOR <= factor {
            self.slow = Some((now, factor));
        } else if self.slow.is_some_and(|(at, _)| at <= sent) {
            self.slow = None;
        }
    }

    /// Records that a call has ended without an answer.
    pub fn abandoned(&mut self, call: PendingCall) {
        self.pending.remove(&call);
    }

    /// Returns the factor by which a call sent now takes longer than `expected`; 1 if nothing shows a slow moment.
    pub fn factor(&self, now: Stamp, expected: Duration) -> f64 {
        let oldest = self.pending.values().next();
        let pending = oldest.map_or(1.0, |sent| factor(now.since(*sent), expected));
        let answered = self.slow.map_or(1.0, |(at, slow)| {
            1.0 + (slow - 1.0) * (-now.since(at).as_secs_f64() / FADING.as_secs_f64()).exp()
        });
        let highest = pending.max(answered).min(MAX_FACTOR);
        if highest < SLOW_FACTOR && pending < SLOW_FACTOR && answered < 1.1 { 1.0 } else { highest }
    }
}

fn factor(took: Duration, expected: Duration) -> f64 {
    (took.as_secs_f64() / expected.as_secs_f64().max(0.001)).clamp(1.0, MAX_FACTOR)
}
