//! The place of a request in a queue.

use std::sync::Arc;

use bulrushhall_core::ServiceName;
use bulrushhall_policy::waiting::WaitingTicket;

use crate::{clock, gateway::Gateway};

/// A `QueuedGuard` removes a request from its queue when it is dropped, as when the caller disconnects.
pub struct QueuedGuard {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The service of the queue.
    pub service: ServiceName,
    /// The request.
    pub ticket: WaitingTicket,
}

impl Drop for QueuedGuard {
    fn drop(&mut self) {
        self.gateway.with(|state| {
            if let Some(queue) = state.waiting.get_mut(&self.service) {
                queue.withdraw(clock::now(), self.ticket);
            }
        });
    }
}
