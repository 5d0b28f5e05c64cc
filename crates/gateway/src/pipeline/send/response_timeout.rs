//! The time after which a backend server that has not answered counts as silent.

use std::time::Duration;

use bulrushhall_core::config::RouteKind;

use crate::pipeline::{identify::IdentifiedRequest, placement::Placement};

/// The timeout after which an idempotent call is sent to another server, as a multiple of the service's
/// 95th percentile: a call that is merely slow is not worth a second one.
const CALL_TIMEOUT_FACTOR: u32 = 2;
/// The minimum of this timeout: a healthy node may stall that long.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum of this timeout is the remaining time divided by this number: the second attempt needs
/// time too.
const CALL_TIMEOUT_DIVISOR: u32 = 3;
/// The time beyond the expected first token after which a resumable stream is sent to another engine.
const ENGINE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Returns the time after which another server is looked for; `sends` counts the attempts of the request.
pub fn response_timeout(
    req: &IdentifiedRequest,
    placement: &Placement,
    sends: u32,
    left: Duration,
) -> Duration {
    let is_last = req.route.cfg.attempts <= sends;
    match req.route.cfg.kind {
        RouteKind::Idempotent if !is_last => {
            let max = (left / CALL_TIMEOUT_DIVISOR).max(MIN_CALL_TIMEOUT);
            (placement.p95_call * CALL_TIMEOUT_FACTOR + placement.wait).clamp(MIN_CALL_TIMEOUT, max)
        }
        RouteKind::ResumableStream if !is_last => {
            ENGINE_TIMEOUT_MARGIN + placement.footprint.expected.unwrap_or_default()
        }
        _ => Duration::MAX,
    }
}
