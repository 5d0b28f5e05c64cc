//! The rate of a link that several connections share.

use std::{sync::Mutex, time::Duration};

use tokio::time::{Instant, sleep_until};

/// A `BandwidthLimit` lets bytes pass at a rate, in the order in which they come.
pub struct BandwidthLimit {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl BandwidthLimit {
    /// Returns a bandwidth of so many bytes a second.
    pub fn new(bytes_per_second: f64) -> BandwidthLimit {
        BandwidthLimit { bytes_per_second, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until `count` bytes have passed.
    pub async fn pass(&self, count: usize) {
        let takes = Duration::from_secs_f64(count as f64 / self.bytes_per_second);
        let until = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        sleep_until(until).await;
    }
}
