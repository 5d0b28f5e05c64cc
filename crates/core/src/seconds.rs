//! Conversion of computed seconds.

use std::time::Duration;

/// The longest duration that computed seconds are converted to: a day.
pub const MAX_SECONDS: f64 = 86_400.0;

/// Returns a duration of computed seconds: 0 for what is negative or no number, and at most [`MAX_SECONDS`].
///
/// Estimates that come from callers, backend servers or other nodes may lead to any number.
pub fn bounded_seconds(seconds: f64) -> Duration {
    let bounded = if seconds.is_nan() { 0.0 } else { seconds.clamp(0.0, MAX_SECONDS) };
    Duration::from_secs_f64(bounded)
}
