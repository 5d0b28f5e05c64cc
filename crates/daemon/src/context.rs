//! What every part of a node needs to reach.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bulrushhall_coord::{CallBudget, Ledger, Notices, Purpose, Source};
use bulrushhall_core::{Deployment, Incarnation, RequestId, Revision, Stamp, VmName};
use bulrushhall_external::KeyValue;
use bulrushhall_policy::team_limits::TeamLimiter;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use xtra::Address;

use crate::{
    answers::Answers,
    backends::Backends,
    budgeted::Budgeted,
    clock::Clock,
    dispatcher::Dispatcher,
    handoff::{OwnershipActor, Recomputed},
    keyed::Claimer,
    members::{Member, Members},
    meters::Meters,
    peers::{PeerClient, Sender},
    settings::Settings,
};

/// How long a node that hears of nobody still names addresses to callers.
const ISOLATED_AFTER: Duration = Duration::from_secs(6);

/// The capacity that a node tells of itself before it has weighed its load.
const OWN_CAPACITY: u32 = 8;

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
    /// The actor that knows which requests the node owns.
    pub ownership: Address<OwnershipActor>,
    /// The actor that learns the homes of idempotency keys.
    pub claimer: Address<Claimer>,
    /// The tokens that were computed a second time, by cause.
    pub recomputed: Recomputed,
    /// The claims of non-repeatable calls.
    pub ledger: Mutex<Ledger>,
    /// What the teams have taken of their limits.
    pub team_limiter: Mutex<TeamLimiter>,
    /// What the node counts and measures.
    pub meters: Arc<Meters>,
    /// The platform's key-value service, where one is set.
    pub key_value: Option<Arc<dyn KeyValue>>,
    /// The other nodes that are believed to be alive.
    pub members: Members,
    /// Sends messages to other nodes.
    pub peers: PeerClient,
    /// The highest configuration revision that any message told of.
    pub highest_revision: watch::Sender<Revision>,
    /// The VMs that are known to leave, of nodes and of backend servers; one never comes out.
    pub leaving_vms: ArcSwap<BTreeSet<VmName>>,
    pub(crate) notices: Mutex<Notices>,
    pub(crate) leaving_news: mpsc::UnboundedSender<Vec<VmName>>,
    pub(crate) budget: Arc<Mutex<CallBudget>>,
    pub(crate) workers_gate: tokio::sync::Mutex<()>,
    pub(crate) document: ArcSwap<Bytes>,
    pub(crate) config_gate: tokio::sync::Mutex<()>,
    pub(crate) revision_teller: AtomicU64,
    pub(crate) last_contact: AtomicU64,
    pub(crate) has_peers: AtomicBool,
    pub(crate) leaving: AtomicBool,
    pub(crate) reclaimed: AtomicBool,
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

    /// Returns whether the node's own VM is being taken back, within seconds.
    pub fn is_reclaimed(&self) -> bool {
        self.reclaimed.load(Ordering::Acquire)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.config.load_full()
    }

    /// Returns what messages of this node say of their sender.
    pub fn sender(&self) -> Sender {
        Sender {
            node: self.settings.node.name.clone(),
            incarnation: self.incarnation,
            revision: self.in_force().revision,
        }
    }

    /// Returns this node as others are told of it.
    pub fn own_member(&self) -> Member {
        let node = &self.settings.node;
        Member {
            node: node.name.clone(),
            incarnation: self.incarnation,
            vm: node.vm.clone(),
            zone: node.zone.clone(),
            callers: node.callers,
            peers: node.peers,
            leaving: self.is_leaving(),
            capacity: OWN_CAPACITY,
            suspected: false,
        }
    }

    /// Notes a revision that the life `teller` of a node has in force.
    pub fn note_revision(&self, revision: Revision, teller: Incarnation) {
        self.highest_revision.send_if_modified(|highest| {
            let rises = *highest < revision;
            if rises {
                *highest = revision;
                self.revision_teller.store(teller.0, Ordering::Release);
            }
            rises
        });
    }

    /// Notes that another node has answered or asked.
    pub fn note_peer(&self) {
        self.has_peers.store(true, Ordering::Release);
        self.note_contact();
    }

    /// Notes that the key-value service has answered.
    pub fn note_contact(&self) {
        self.last_contact.store(self.clock.now().0, Ordering::Release);
    }

    /// Returns whether neither the key-value service nor any other node was heard of for long.
    ///
    /// Such a node can't know whether a newer configuration is in force. Callers that it sends to
    /// itself would be served by an old one, so it names no addresses until it hears again. A
    /// node that has no others, and never had, goes on: callers have nowhere else to go.
    pub fn is_isolated(&self) -> bool {
        if !self.has_peers.load(Ordering::Acquire) {
            return false;
        }
        let last = Stamp(self.last_contact.load(Ordering::Acquire));
        ISOLATED_AFTER < self.clock.now().since(last)
    }

    /// Notes that VMs are leaving; returns those that were not known to.
    pub fn note_leaving(
        &self,
        source: Source,
        vms: impl IntoIterator<Item = VmName>,
    ) -> Vec<VmName> {
        let mut notices = self.lock_notices();
        let new = notices.take(self.clock.now(), source, vms);
        if new.is_empty() {
            return new;
        }
        self.leaving_vms.store(Arc::new(notices.leaving().cloned().collect()));
        drop(notices);
        if new.contains(&self.settings.node.vm) {
            self.reclaimed.store(true, Ordering::Release);
            self.leave();
        }
        new
    }

    /// Returns the key-value service as one purpose may use it, where one is set.
    pub fn key_value_for(&self, purpose: Purpose) -> Option<Arc<dyn KeyValue>> {
        let inner = self.key_value.clone()?;
        let budget = Arc::clone(&self.budget);
        let meters = Arc::clone(&self.meters);
        Some(Arc::new(Budgeted::new(inner, budget, self.clock, purpose, meters)))
    }

    /// Returns a hash of the VMs that are known to leave.
    pub(crate) fn leaving_hash(&self) -> u64 {
        self.lock_notices().hash()
    }

    /// Returns the VMs that are known to leave, but for those in `told`.
    pub(crate) fn known_leaving(&self, told: &[VmName]) -> Vec<VmName> {
        let notices = self.lock_notices();
        notices.leaving().filter(|vm| !told.contains(vm)).cloned().collect()
    }

    fn lock_notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn revision_teller(&self) -> Option<Incarnation> {
        let teller = self.revision_teller.load(Ordering::Acquire);
        (teller != 0).then_some(Incarnation(teller))
    }
}
