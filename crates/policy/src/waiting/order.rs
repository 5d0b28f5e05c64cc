//! The orders in which the queued requests of one team and urgency may be started.

use std::fmt;

use bulrushhall_core::Stamp;

use crate::waiting::WaitingRequest;

/// A `StartOrder` orders the requests of one team and urgency.
///
/// The position of a request doesn't change while it waits, except that requests which can't be in time any more go behind
/// those that can.
pub trait StartOrder: fmt::Debug + Send {
    /// Returns the position of a request that is submitted at `now`; the lowest one starts first.
    fn position(&self, now: Stamp, req: &WaitingRequest) -> u64;
}

/// `ArrivalOrder` starts the request that arrived first.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalOrder;

impl StartOrder for ArrivalOrder {
    fn position(&self, _now: Stamp, req: &WaitingRequest) -> u64 {
        req.arrived.0
    }
}

/// `LeastTimeLeft` starts the request that has to start first in order to be in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastTimeLeft;

impl StartOrder for LeastTimeLeft {
    fn position(&self, _now: Stamp, req: &WaitingRequest) -> u64 {
        req.latest_start.0
    }
}

/// `WorkPerTimeLeft` starts the request with the most work for each second that it had left on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkPerTimeLeft;

impl StartOrder for WorkPerTimeLeft {
    fn position(&self, now: Stamp, req: &WaitingRequest) -> u64 {
        let left = req.latest_start.since(now).as_secs_f64().max(0.001);
        u64::MAX - (f64::from(req.work) / left) as u64
    }
}
