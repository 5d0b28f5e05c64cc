//! A node: its ports, its actors, its start and its shutdown.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use bulrushhall_coord::{CallBudget, Ledger, LedgerOptions, chain::HEAD_KEY};
use bulrushhall_core::{
    Deployment, Event, Incarnation, Revision,
    config::{ServiceType, parse_deployment},
};
use bulrushhall_external::{
    KeyValue,
    clients::HttpKeyValue,
    http::{
        BodyBudget, ClientAuth, Endpoint, EndpointOptions, Handler, NodeMemory, PortShare,
        ServerOptions, listen, serve,
    },
};
use error_stack::{Report, ResultExt};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
};
use xtra::Mailbox;

use crate::{
    answers::Answers,
    backends::Backends,
    callers::CallerPort,
    carried, certificates,
    clock::Clock,
    config_watch,
    context::{Context, InForce},
    crashes, discovery,
    dispatcher::{Dispatcher, SetWorkers, Tick},
    errors::NodeError,
    fleet,
    handoff::{self, OwnershipActor, Recomputed},
    keyed::{self, Claimer},
    loads,
    members::Members,
    membership_actor::{self, MembershipActor},
    meters::Meters,
    notices,
    operators::OperatorPort,
    peers::{PeerClient, PeerPort},
    settings::Settings,
};

/// The pause between two ticks of the dispatcher.
const TICK_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two upkeep runs of the metrics recorder.
const METRICS_UPKEEP_PAUSE: Duration = Duration::from_secs(5);
/// The poll interval for unfinished answers while the node shuts down.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// The connections of callers.
const CALLERS: PortShare = PortShare { share: 0.3, min: 64, max: 16_384 };
/// The connections of other nodes.
const PEERS: PortShare = PortShare { share: 0.08, min: 64, max: 2_000 };
/// The connections of operators and monitoring.
const OPERATORS: PortShare = PortShare { share: 0.02, min: 32, max: 256 };
/// The share of a node's memory for the messages of other nodes.
const MESSAGE_SHARE: f64 = 0.12;
/// The least memory for them, in bytes: the largest message, and what is kept for what can't wait.
const MIN_MESSAGE_BYTES: usize = 5 << 20;

/// A `Node` is one running node.
pub struct Node {
    cx: Arc<Context>,
    stop: watch::Sender<bool>,
    ports: JoinSet<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens the ports and starts the actors.
    pub async fn start(mut settings: Settings) -> Result<Node, Report<NodeError>> {
        let tls = certificates::load(&settings.tls)?;
        let callers = open(&mut settings.node.callers)?;
        let peer_listener = open(&mut settings.node.peers)?;
        let operators = open(&mut settings.node.operators)?;

        let clock = Clock::start();
        let incarnation = new_incarnation();
        let dispatcher = Dispatcher::new(clock, incarnation.0);
        let dispatcher = xtra::spawn_tokio(dispatcher, Mailbox::unbounded());
        let meters = Arc::new(Meters::new(&settings.node.name));
        let key_value = settings.platform.key_value.map(key_value_client);
        let (ownership, mailbox) = Mailbox::unbounded();
        let (claimer, claimer_mailbox) = Mailbox::unbounded();
        let (leaving_updates, updates) = mpsc::unbounded_channel();
        let memory = NodeMemory::of_bytes(settings.limits.memory.as_u64());
        let cx = Arc::new(Context {
            settings,
            incarnation,
            clock,
            config: ArcSwap::default(),
            answers: Answers::default(),
            backends: Backends::default(),
            bodies: BodyBudget::of_node(memory),
            messages: BodyBudget::with_bytes(memory.share(MESSAGE_SHARE).max(MIN_MESSAGE_BYTES)),
            dispatcher,
            ownership,
            claimer: claimer.clone(),
            recomputed: Recomputed::default(),
            ledger: Mutex::new(Ledger::new(LedgerOptions::default())),
            team_limiter: Mutex::default(),
            meters,
            key_value,
            crashes: Mutex::default(),
            members: Members::default(),
            peers: PeerClient::new(tls.clone()),
            carriers: PeerClient::for_long_replies(tls.clone()),
            highest_revision: watch::Sender::new(Revision(0)),
            leaving_vms: ArcSwap::default(),
            notices: Mutex::default(),
            leaving_updates,
            budget: Arc::new(Mutex::new(CallBudget::new(clock.now()))),
            workers_lock: tokio::sync::Mutex::default(),
            document: ArcSwap::default(),
            config_lock: tokio::sync::Mutex::default(),
            revision_source: AtomicU64::new(0),
            last_contact: AtomicU64::new(0),
            has_peers: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            reclaimed: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        });

        let mut peer_port = PeerPort::new(Arc::clone(&cx));
        let membership = MembershipActor::new(Arc::clone(&cx));
        let membership = xtra::spawn_tokio(membership, Mailbox::unbounded());
        membership_actor::register(&mut peer_port, membership.clone());
        notices::register(&mut peer_port);
        handoff::register(&mut peer_port);
        keyed::register(&mut peer_port);
        carried::register(&mut peer_port);
        crashes::register(&mut peer_port);
        config_watch::register(&mut peer_port);
        discovery::register(&mut peer_port);

        let (stop, stopped) = watch::channel(false);
        let mut ports = JoinSet::new();
        let caller_port = CallerPort::new(Arc::clone(&cx));
        let operator_port = OperatorPort::new(Arc::clone(&cx));
        let handlers: [(TcpListener, Arc<dyn Handler>, ClientAuth, PortShare); 3] = [
            (callers, Arc::new(caller_port), ClientAuth::Disabled, CALLERS),
            (peer_listener, Arc::new(peer_port), ClientAuth::Required, PEERS),
            (operators, Arc::new(operator_port), ClientAuth::Required, OPERATORS),
        ];
        for (listener, handler, clients, share) in handlers {
            let limits = &cx.settings.limits;
            let options = ServerOptions {
                header_timeout: limits.header_timeout.into(),
                drain_timeout: limits.drain.into(),
                max_connections: share.connections(memory),
                bodies: cx.bodies.clone(),
                tls: tls.clone().map(|tls| (tls, clients)),
                ..ServerOptions::default()
            };
            ports.spawn(serve(listener, handler, options, stopped.clone()));
        }
        let tasks = vec![
            tokio::spawn(xtra::run(mailbox, OwnershipActor::new(Arc::clone(&cx)))),
            tokio::spawn(xtra::run(claimer_mailbox, Claimer::new(&cx))),
            tokio::spawn(handoff::run_timers(Arc::clone(&cx))),
            tokio::spawn(keyed::run_timer(claimer)),
            tokio::spawn(handoff::drain(Arc::clone(&cx))),
            tokio::spawn(handoff::cancel_abandoned(Arc::clone(&cx))),
            tokio::spawn(handoff::follow_notices(Arc::clone(&cx))),
            tokio::spawn(config_watch::watch_service(Arc::clone(&cx))),
            tokio::spawn(config_watch::catch_up(Arc::clone(&cx))),
            tokio::spawn(membership_actor::run_timer(membership)),
            tokio::spawn(notices::poll(Arc::clone(&cx))),
            tokio::spawn(notices::send_updates(Arc::clone(&cx), updates)),
            tokio::spawn(notices::run_anti_entropy(Arc::clone(&cx))),
            tokio::spawn(tick(Arc::clone(&cx))),
            tokio::spawn(run_metrics_upkeep(Arc::clone(&cx))),
            tokio::spawn(certificates::follow(tls)),
            tokio::spawn(loads::follow(Arc::clone(&cx))),
            tokio::spawn(fleet::run(Arc::clone(&cx))),
            tokio::spawn(discovery::follow(Arc::clone(&cx))),
            tokio::spawn(discovery::close_leaving(Arc::clone(&cx))),
        ];
        let name = &cx.settings.node.name;
        tracing::info!(event = Event::NodeStarted.number(), node = %name, %incarnation);
        Ok(Node { cx, stop, ports, tasks })
    }

    /// Returns the state that the parts of the node share.
    pub fn context(&self) -> &Arc<Context> {
        &self.cx
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.cx.settings.node.callers
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.cx.settings.node.operators
    }

    /// Refuses new work, waits for open answers up to the drain limit, and stops.
    pub async fn stop(mut self) {
        self.cx.leave();
        tracing::info!(event = Event::NodeLeaving.number());
        let drain: Duration = self.cx.settings.limits.drain.into();
        let drained = async {
            while 0 < self.cx.answers.unfinished() {
                tokio::time::sleep(DRAIN_PAUSE).await;
            }
        };
        let _ = tokio::time::timeout(drain, drained).await;
        handoff::end_open_answers(&self.cx);
        self.stop.send_replace(true);
        while self.ports.join_next().await.is_some() {}
        self.abort_tasks();
        tracing::info!(event = Event::NodeStopped.number());
    }

    /// Aborts everything at once, as a crash of the process would.
    pub fn kill(mut self) {
        self.ports.abort_all();
        self.abort_tasks();
    }

    fn abort_tasks(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn open(address: &mut SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    let listener = listen(*address).change_context(NodeError::Listen)?;
    *address = listener.local_addr().change_context(NodeError::Listen)?;
    Ok(listener)
}

// Incarnations of one node differ by their start time. The random low bits distinguish two nodes that
// start in the same microsecond.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX >> 12);
    Incarnation(micros << 12 | u64::from(rand::random::<u16>() & 0xfff))
}

fn key_value_client(address: SocketAddr) -> Arc<dyn KeyValue> {
    Arc::new(HttpKeyValue::new(Endpoint::new(address, EndpointOptions::default())))
}

async fn run_metrics_upkeep(cx: Arc<Context>) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_PAUSE).await;
        cx.meters.run_upkeep();
    }
}

async fn tick(cx: Arc<Context>) {
    loop {
        tokio::time::sleep(TICK_PAUSE).await;
        let _ = cx.dispatcher.send(Tick).await;
    }
}

/// Puts a configuration revision in force at this node unless its text is invalid.
pub(crate) async fn put_in_force(cx: &Context, revision: Revision, text: &[u8]) {
    let text = String::from_utf8_lossy(text);
    let deployment = match parse_deployment(HEAD_KEY, &text) {
        Ok(deployment) => deployment,
        Err(error) => {
            tracing::error!(event = Event::ConfigRejected.number(), ?revision, %error);
            return;
        }
    };
    let _guard = cx.workers_lock.lock().await;
    update_workers(cx, &deployment).await;
    let deployment = Arc::new(deployment);
    cx.config.store(Arc::new(InForce { revision, deployment }));
}

/// Updates the backend servers after a change of the VM list.
pub(crate) async fn refresh_workers(cx: &Context) {
    let _guard = cx.workers_lock.lock().await;
    update_workers(cx, &cx.in_force().deployment).await;
}

// Called with the lock held: a new configuration and a new VM list may arrive at the same time, and
// the slower of the two must not restore the workers of the older configuration.
async fn update_workers(cx: &Context, deployment: &Deployment) {
    cx.backends.update(deployment, &cx.settings.limits);
    for (service, cfg) in &deployment.services {
        if cfg.service_type != ServiceType::Model {
            continue;
        }
        let slots = u32::try_from(cx.settings.limits.answers_per_engine).unwrap_or(u32::MAX);
        let workers = cx.backends.views(service, &cx.settings.node.zone, slots);
        let shares = deployment.teams.iter().map(|(team, cfg)| (team.clone(), cfg.share)).collect();
        let weights = deployment.weights.clone();
        let set = SetWorkers { service: service.clone(), workers, shares, weights };
        let _ = cx.dispatcher.send(set).await;
    }
}
