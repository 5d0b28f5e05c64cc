//! A bandwidth limit that several connections share.

use std::{sync::Mutex, time::Duration};

use tokio::time::{Instant, sleep_until};

/// A `BandwidthLimit` delays data to a maximum rate, in the order of the calls.
pub struct BandwidthLimit {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl BandwidthLimit {
    /// Returns a limit of `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> BandwidthLimit {
        BandwidthLimit { bytes_per_second, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until the limit allows `count` more bytes to have been sent.
    pub async fn wait_to_send(&self, count: usize) {
        let duration = Duration::from_secs_f64(count as f64 / self.bytes_per_second);
        let sent_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        sleep_until(sent_at).await;
    }
}
