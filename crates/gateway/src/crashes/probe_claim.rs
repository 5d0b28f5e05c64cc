//! The right to send one request that is refused otherwise.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bulrushhall_coord::crashes::{Block, PartIds};

use crate::gateway::Gateway;

/// A `ProbeClaim` is the right of this node to send one request that a block refuses, to see whether it still crashes its server.
/// Unless the request is sent, the right goes to the next one when this is dropped.
pub struct ProbeClaim {
    gateway: Arc<Gateway>,
    /// The record by which the node claimed it.
    block: Block,
    is_sent: AtomicBool,
}

impl ProbeClaim {
    /// Returns the right that a node has claimed by a record.
    pub fn new(gateway: &Arc<Gateway>, block: Block) -> ProbeClaim {
        ProbeClaim { gateway: Arc::clone(gateway), block, is_sent: AtomicBool::new(false) }
    }

    /// Returns the ids of the block.
    pub fn parts(&self) -> &PartIds {
        &self.block.parts
    }

    /// Notes that the request is sent.
    pub fn note_sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }

    /// Notes that no server has run the request.
    pub fn note_not_run(&self) {
        self.is_sent.store(false, Ordering::Relaxed);
    }
}

impl Drop for ProbeClaim {
    fn drop(&mut self) {
        if self.is_sent.load(Ordering::Relaxed) {
            return;
        }
        let block = self.block.clone();
        self.gateway.with(|state| state.crashes.unused_claims.insert(block.parts.clone(), block));
    }
}

impl fmt::Debug for ProbeClaim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProbeClaim").field("block", &self.block).finish_non_exhaustive()
    }
}
