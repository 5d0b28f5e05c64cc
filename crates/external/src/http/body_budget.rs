//! The memory of a process for what its clients send.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use crate::http::{
    BodyRoom, NoRoom, NodeMemory,
    held_bodies::{Held, HeldBodies, Shared, Stage},
};

/// The share of a node's memory that bodies may use.
const MEMORY_SHARE: f64 = 0.3;

/// A `BodyBudget` bounds the sum of the bodies that a process holds, from the first byte that it reads until the request has
/// ended. What has no room stays unread, so that its connection waits.
///
/// A body that waits revokes the room of bodies that arrive too slowly: clients that stop in the middle of theirs would
/// otherwise keep it until a time limit.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    pub(super) shared: Arc<Shared>,
}

impl BodyBudget {
    /// Returns the budget of a node with some memory, in MB.
    pub fn new(memory_mb: Option<f64>) -> BodyBudget {
        BodyBudget::of_node(NodeMemory::new(memory_mb))
    }

    /// Returns the budget of a node with some memory.
    pub fn of_node(memory: NodeMemory) -> BodyBudget {
        BodyBudget::with_bytes(memory.share(MEMORY_SHARE))
    }

    /// Returns a budget of this many bytes.
    pub fn with_bytes(total: usize) -> BodyBudget {
        let state = Mutex::new(HeldBodies { free: total, ..HeldBodies::default() });
        BodyBudget { shared: Arc::new(Shared { total, state, freed: Notify::new() }) }
    }

    /// Waits for room for a body of at most some bytes, not longer than `limit` allows. A body that is larger than all
    /// room there is waits for all of it.
    pub async fn reserve(&self, bytes: usize, limit: Duration) -> Result<BodyRoom, NoRoom> {
        let mut room = BodyRoom::default();
        room.extend(self, bytes, limit).await?;
        Ok(room)
    }

    /// Returns room for some bytes that are complete, if there is any.
    pub fn try_reserve(&self, bytes: usize) -> Option<BodyRoom> {
        if bytes == 0 {
            return Some(BodyRoom::default());
        }
        let mut state = self.shared.lock();
        state.free = state.free.checked_sub(bytes)?;
        let arrival = Arc::default();
        let held = Held {
            bytes,
            stage: Stage::Complete,
            since: Instant::now(),
            arrival: Arc::clone(&arrival),
        };
        let key = state.bodies.insert(held);
        Some(BodyRoom { held: Some((Arc::clone(&self.shared), key)), bytes, arrival })
    }

    /// Returns the bytes that are free.
    pub fn free_bytes(&self) -> usize {
        self.shared.lock().free
    }

    /// Returns the bytes that are in use.
    pub fn used_bytes(&self) -> usize {
        self.shared.total - self.free_bytes()
    }
}

impl Default for BodyBudget {
    fn default() -> Self {
        BodyBudget::new(None)
    }
}
