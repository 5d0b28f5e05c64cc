//! What every part of a node needs to reach.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use bulrushhall_coord::Ledger;
use bulrushhall_core::{Deployment, Incarnation, RequestId, Revision};
use bulrushhall_platform::KeyValue;
use xtra::Address;

use crate::{
    answers::Answers, backends::Backends, clock::Clock, dispatcher::Dispatcher, settings::Settings,
};

/// An `InForce` is the configuration that a node acts on.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision; 0 before any was learnt.
    pub revision: Revision,
    /// What it says.
    pub deployment: Arc<Deployment>,
}

/// A `Context` is what every part of a node needs to reach.
pub struct Context {
    /// The settings, with the ports that were really opened.
    pub settings: Settings,
    /// This life of the node.
    pub incarnation: Incarnation,
    /// The clock of all state machines.
    pub clock: Clock,
    /// The configuration in force.
    pub config: ArcSwap<InForce>,
    /// The answers in progress and kept.
    pub answers: Answers,
    /// The known backend servers.
    pub backends: Backends,
    /// The actor that queues and places.
    pub dispatcher: Address<Dispatcher>,
    /// The claims of non-repeatable calls.
    pub ledger: Mutex<Ledger>,
    /// The platform's key-value service, where one is set.
    pub key_value: Option<Arc<dyn KeyValue>>,
    pub(crate) leaving: AtomicBool,
    pub(crate) sequence: AtomicU64,
}

impl Context {
    /// Returns an id for a new request.
    pub fn next_request(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        RequestId { origin: self.incarnation, sequence }
    }

    /// Returns whether the node takes no new work any more.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Stops taking new work, for the rest of this life.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.config.load_full()
    }
}
