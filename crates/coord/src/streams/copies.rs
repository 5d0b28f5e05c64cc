//! The origins that a node still has to copy to others.

use std::collections::BTreeMap;

use bulrushhall_core::Stamp;

use super::{StreamBatch, StreamKey, StreamOrigins, copy_holders};

/// The number of other nodes that hold a copy of a stream's origin.
pub const COPIES: usize = 2;
/// The number of times that a copy is sent: a node that reaches no other one must not collect copies.
const MAX_SENDS: u8 = 6;

/// A stream whose origin is to be copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    key: StreamKey,
    /// The hash of the node that did not take the copy last.
    refused_by: Option<u64>,
    /// The number of times that the copy was sent.
    sends: u8,
}

/// A `CopyDelivery` is a batch for one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyDelivery {
    /// The batch.
    pub batch: StreamBatch,
    /// The number of times that its copies were sent, this one included.
    sends: u8,
}

/// `StreamCopies` collect the origins to copy until they are sent in batches.
#[derive(Debug, Default)]
pub struct StreamCopies {
    pending: Vec<Pending>,
}

impl StreamCopies {
    /// Adds a stream to the next deliveries.
    pub fn push(&mut self, key: StreamKey) {
        self.pending.push(Pending { key, refused_by: None, sends: 0 });
    }

    /// Adds the streams of a delivery that a node did not take to the next ones.
    pub fn push_refused(&mut self, delivery: &CopyDelivery, node: u64) {
        let CopyDelivery { batch, sends } = delivery;
        if MAX_SENDS <= *sends {
            return;
        }
        for (key, _) in batch.iter() {
            self.pending.push(Pending { key, refused_by: Some(node), sends: *sends });
        }
    }

    /// Returns whether there is nothing to copy.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the deliveries that are due, with the hashes of their receivers; `others` are the hashes of the other
    /// nodes.
    pub fn take(
        &mut self,
        now: Stamp,
        origins: &StreamOrigins,
        others: &[u64],
    ) -> BTreeMap<u64, CopyDelivery> {
        let mut deliveries: BTreeMap<u64, CopyDelivery> = BTreeMap::new();
        for Pending { key, refused_by, sends } in std::mem::take(&mut self.pending) {
            let takers = others.iter().filter(|hash| Some(**hash) != refused_by);
            for holder in copy_holders(key, takers.map(|hash| (*hash, *hash))) {
                let delivery = deliveries.entry(holder).or_default();
                delivery.sends = delivery.sends.max(sends + 1);
                origins.add_to(&mut delivery.batch, now, key);
            }
        }
        deliveries
    }
}
