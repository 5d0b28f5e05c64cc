//! The share of a relay's link for replies with all records.

use bulrushhall_core::{Stamp, bounded_seconds};

/// The share of the link that replies with all records may take; the rest is for callers and digests.
const LINK_SHARE: f64 = 0.5;
/// The bytes of an encoded record, on average.
const RECORD_BYTES: f64 = 150.0;
/// The bytes per second of a link of 1 Mbit/s.
const BYTES_PER_MBPS: f64 = 125_000.0;

/// A `ReplyBudget` spaces the replies with all records of servers and nodes.
///
/// After a start of all nodes, each member of a zone requests all records. On a small link the replies would delay
/// each other until none arrives within its timeout, while the digests between the nodes are lost as well.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyBudget {
    free_at: Stamp,
}

impl ReplyBudget {
    /// Returns whether a reply with `records` may be sent now, over a link of `link_mbps` if that is configured.
    pub fn take(&mut self, now: Stamp, records: usize, link_mbps: Option<f64>) -> bool {
        let Some(mbps) = link_mbps else { return true };
        if now < self.free_at {
            return false;
        }
        let rate = mbps * BYTES_PER_MBPS * LINK_SHARE;
        self.free_at = now + bounded_seconds(records as f64 * RECORD_BYTES / rate);
        true
    }
}
