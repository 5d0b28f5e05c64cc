//! The state that all parts of a node share.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use bulrushhall_coord::{CallBudget, Ledger, Notices, Purpose, Source, crashes::CrashWatch};
use bulrushhall_core::{Deployment, Incarnation, RequestId, Revision, Stamp, VmName};
use bulrushhall_external::{KeyValue, http::BodyBudget};
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

/// How long a node without contact with the key-value service or any peer still gives addresses to callers.
const ISOLATED_AFTER: Duration = Duration::from_secs(6);

/// The capacity that a node advertises until it has computed its load.
const INITIAL_CAPACITY: u32 = 8;

/// An `InForce` is the configuration that a node acts on.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its revision; 0 before the first one is known.
    pub revision: Revision,
    /// Its content.
    pub deployment: Arc<Deployment>,
}

/// A `Context` is the state that all parts of a node share.
pub struct Context {
    /// The settings, with the port numbers that were bound.
    pub settings: Settings,
    /// The incarnation of this process of the node.
    pub incarnation: Incarnation,
    /// The clock of all state machines.
    pub clock: Clock,
    /// The configuration in force.
    pub config: ArcSwap<InForce>,
    /// The answers in progress and the stored ones.
    pub answers: Answers,
    /// The known backend servers.
    pub backends: Backends,
    /// The memory for the bodies and prompts of requests.
    pub bodies: BodyBudget,
    /// The memory for the messages of other nodes.
    pub messages: BodyBudget,
    /// The actor that queues and places requests.
    pub dispatcher: Address<Dispatcher>,
    /// The actor that knows which requests the node owns.
    pub ownership: Address<OwnershipActor>,
    /// The actor that finds the home nodes of idempotency keys.
    pub claimer: Address<Claimer>,
    /// The number of recomputed tokens by cause.
    pub recomputed: Recomputed,
    /// The claims of non-repeatable calls.
    pub ledger: Mutex<Ledger>,
    /// The teams' usage of their limits.
    pub team_limiter: Mutex<TeamLimiter>,
    /// The node's metrics.
    pub meters: Arc<Meters>,
    /// The platform's key-value service, if configured.
    pub key_value: Option<Arc<dyn KeyValue>>,
    pub(crate) crashes: Mutex<CrashWatch>,
    /// The other nodes that are considered alive.
    pub members: Members,
    /// The client that sends messages to other nodes.
    pub peers: PeerClient,
    /// The client that asks other nodes to carry calls.
    pub carriers: PeerClient,
    /// The highest configuration revision that any message reported.
    pub highest_revision: watch::Sender<Revision>,
    /// The VMs of nodes and backend servers that are known to be leaving; no later report removes an entry.
    pub leaving_vms: ArcSwap<BTreeSet<VmName>>,
    pub(crate) notices: Mutex<Notices>,
    pub(crate) leaving_updates: mpsc::UnboundedSender<Vec<VmName>>,
    pub(crate) budget: Arc<Mutex<CallBudget>>,
    pub(crate) workers_lock: tokio::sync::Mutex<()>,
    pub(crate) document: ArcSwap<Bytes>,
    pub(crate) config_lock: tokio::sync::Mutex<()>,
    pub(crate) revision_source: AtomicU64,
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

    /// Returns whether the node refuses new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Refuses new work until the process ends.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether the cloud reclaims the node's own VM within seconds.
    pub fn is_reclaimed(&self) -> bool {
        self.reclaimed.load(Ordering::Acquire)
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Arc<InForce> {
        self.config.load_full()
    }

    /// Returns the sender data of this node's messages.
    pub fn sender(&self) -> Sender {
        Sender {
            node: self.settings.node.name.clone(),
            incarnation: self.incarnation,
            revision: self.in_force().revision,
        }
    }

    /// Returns this node as it advertises itself to others.
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
            capacity: INITIAL_CAPACITY,
            suspected: false,
        }
    }

    /// Records that the incarnation `source` of a node has a revision in force.
    pub fn note_revision(&self, revision: Revision, source: Incarnation) {
        self.highest_revision.send_if_modified(|highest| {
            let is_newer = *highest < revision;
            if is_newer {
                *highest = revision;
                self.revision_source.store(source.0, Ordering::Release);
            }
            is_newer
        });
    }

    /// Records a message or reply of another node.
    pub fn note_peer(&self) {
        self.has_peers.store(true, Ordering::Release);
        self.note_contact();
    }

    /// Records a reply of the key-value service.
    pub fn note_contact(&self) {
        self.last_contact.store(self.clock.now().0, Ordering::Release);
    }

    /// Returns whether the node has had no contact with the key-value service or any peer for long.
    ///
    /// Such a node can't know whether a newer configuration is in force. Callers that it directs to
    /// itself might be served by an outdated one, so it gives no addresses until it has contact again.
    /// A node that has never had a peer continues: its callers have no other node.
    pub fn is_isolated(&self) -> bool {
        if !self.has_peers.load(Ordering::Acquire) {
            return false;
        }
        let last = Stamp(self.last_contact.load(Ordering::Acquire));
        ISOLATED_AFTER < self.clock.now().since(last)
    }

    /// Records leaving VMs; returns those that were not known to be leaving.
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

    /// Returns the key-value service, if configured, within the call budget of a purpose.
    pub fn key_value_for(&self, purpose: Purpose) -> Option<Arc<dyn KeyValue>> {
        let inner = self.key_value.clone()?;
        let budget = Arc::clone(&self.budget);
        let meters = Arc::clone(&self.meters);
        Some(Arc::new(Budgeted::new(inner, budget, self.clock, purpose, meters)))
    }

    /// Calls a function with what the node knows of crashes of backend servers.
    pub(crate) fn with_crashes<T>(&self, f: impl FnOnce(&mut CrashWatch) -> T) -> T {
        let mut crashes = self.crashes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        f(&mut crashes)
    }

    /// Returns a hash of the VMs that are known to be leaving.
    pub(crate) fn leaving_hash(&self) -> u64 {
        self.lock_notices().hash()
    }

    /// Returns the VMs that are known to be leaving, except for those in `received`.
    pub(crate) fn known_leaving(&self, received: &[VmName]) -> Vec<VmName> {
        let notices = self.lock_notices();
        notices.leaving().filter(|vm| !received.contains(vm)).cloned().collect()
    }

    fn lock_notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(crate) fn revision_source(&self) -> Option<Incarnation> {
        let source = self.revision_source.load(Ordering::Acquire);
        (source != 0).then_some(Incarnation(source))
    }
}
