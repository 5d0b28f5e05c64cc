//! The queues of a node.

use std::collections::HashMap;

use bulrushhall_core::{ServiceName, Stamp};
use bulrushhall_policy::waiting::{QueuedWork, TeamWeights};

use crate::waiting::ServiceQueue;

/// A `WaitingState` is the queues of a node, by service.
#[derive(Debug, Default)]
pub struct WaitingState {
    queues: HashMap<ServiceName, ServiceQueue>,
    /// When the queued work was last reported to the other nodes.
    pub reported_at: Option<Stamp>,
}

impl WaitingState {
    /// Returns whether this node or another one has requests queued for a service that are at least as urgent as `rank`, so
    /// that a new one has to queue too.
    pub fn is_short(&self, service: &ServiceName, rank: u8) -> bool {
        self.queues.get(service).is_some_and(|queue| queue.is_short(rank))
    }

    /// Returns the queue of a service, which is created if there is none.
    pub fn queue(&mut self, service: &ServiceName, weights: &TeamWeights) -> &mut ServiceQueue {
        // Most calls are for a known service, so the name is cloned only for a new one.
        if !self.queues.contains_key(service) {
            self.queues.insert(service.clone(), ServiceQueue::new(weights.clone()));
        }
        self.queues.get_mut(service).unwrap_or_else(|| unreachable!("just inserted"))
    }

    /// Returns the queue of a service, if it has been used.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut ServiceQueue> {
        self.queues.get_mut(service)
    }

    /// Returns the queues that have been used.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServiceQueue)> {
        self.queues.iter()
    }

    /// Returns the services whose queues have been used.
    pub fn services(&self) -> Vec<ServiceName> {
        self.queues.keys().cloned().collect()
    }

    /// Returns whether any request is queued.
    pub fn has_queued(&self) -> bool {
        self.queues.values().any(|queue| !queue.queue.is_empty())
    }

    /// Returns the queued work for a service.
    pub fn queued(&self, service: &ServiceName) -> QueuedWork {
        self.queues.get(service).map(|queue| queue.queue.queued()).unwrap_or_default()
    }

    /// Returns the number of queued requests and their work in tokens, over all services.
    pub fn totals(&self) -> (usize, QueuedWork) {
        let queues = self.queues.values().map(|queue| &queue.queue);
        queues.fold((0, QueuedWork::default()), |(count, work), queue| {
            (count + queue.len(), work.plus(queue.queued()))
        })
    }
}
