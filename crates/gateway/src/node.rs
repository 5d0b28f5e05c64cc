//! Start and shutdown of a node.

use std::{fmt, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use bulrushhall_external::http::{Handler, ServerOptions, listen, serve};
use error_stack::{Report, ResultExt};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    clock,
    cluster::{
        PeerPort, copy_streams, follow_backends, follow_config, follow_members, gossip,
        hand_over_streams, register, store_blocks,
    },
    duties::{Holder, keep_lease, run_duties},
    gateway::{Gateway, Phase, Platform},
    ports::{CallerPort, DirectoryPort, Port, ReadinessPort},
    retries::hand_over_retries,
    settings::Settings,
    waiting::run_waiting,
};

/// How long a node still accepts requests after its shutdown begins: other nodes stop giving out its
/// address within half a second, and callers refresh addresses every two seconds.
const LEAVING_TIME: Duration = Duration::from_millis(2_200);
/// The part of the grace period that remains when the node cuts unfinished answers: the process has to end within it.
const END_MARGIN: Duration = Duration::from_millis(300);
/// The time in which other nodes get what they need to know, while unfinished answers go on.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// How long the last bytes of carried answers may take to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// A `NodeError` is the reason why a node could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeError {
    /// A port could not be opened.
    Port(SocketAddr),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Port(address) => write!(f, "the port {address} could not be opened"),
        }
    }
}

impl std::error::Error for NodeError {}

/// A `Node` is a running node.
pub struct Node {
    gateway: Arc<Gateway>,
    stop: watch::Sender<bool>,
    running: watch::Sender<bool>,
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens the ports and starts to serve.
    pub fn start(settings: Settings, platform: Platform) -> Result<Node, Report<NodeError>> {
        let gateway = Arc::new(Gateway::new(settings, platform));
        let stop = watch::Sender::new(false);
        let handler: Arc<dyn Handler> = Arc::new(CallerPort::new(Arc::clone(&gateway)));
        let callers = open(Port::Callers, handler, &gateway, stop.subscribe())?;
        let others: [(Port, Arc<dyn Handler>); 2] = [
            (Port::Directory, Arc::new(DirectoryPort::new(Arc::clone(&gateway)))),
            (Port::Readiness, Arc::new(ReadinessPort::new(Arc::clone(&gateway)))),
        ];
        // These ports stay open until the process ends: a node that is stopping still takes part in gossip.
        let running = watch::Sender::new(false);
        let handler: Arc<dyn Handler> = Arc::new(PeerPort::new(Arc::clone(&gateway)));
        let peers = open(Port::Peers, handler, &gateway, running.subscribe())?;
        let mut tasks = Vec::new();
        for (port, handler) in others {
            tasks.push(open(port, handler, &gateway, running.subscribe())?);
        }
        tasks.push(tokio::spawn(follow_config(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(follow_backends(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(follow_members(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(register(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(gossip(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(copy_streams(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(store_blocks(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(run_waiting(Arc::clone(&gateway))));
        let holder = Arc::new(Holder::new(Arc::clone(&gateway)));
        tasks.push(tokio::spawn(keep_lease(Arc::clone(&holder))));
        tasks.push(tokio::spawn(run_duties(Arc::clone(&gateway), holder)));
        tracing::info!(
            event = Event::NodeStarted.number(),
            node = %gateway.settings.gateway.name,
            incarnation = gateway.incarnation.0
        );
        Ok(Node { gateway, stop, running, callers, peers, tasks })
    }

    /// Returns the shared state of the node.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Stops the node: withdraws its address, then stops accepting requests, then drains those in flight, also those that
    /// it carries for other nodes.
    pub async fn stop(self) {
        let node = &self.gateway.settings.gateway.name;
        tracing::info!(event = Event::NodeLeaving.number(), %node);
        let grace = Duration::from(self.gateway.settings.bounds.grace);
        let leaving = LEAVING_TIME.min(grace / 3);
        let cut_after = grace.saturating_sub(END_MARGIN);
        // It is set once, as a node is stopped once.
        let _ = self.gateway.cut_at.set(clock::now() + cut_after);
        self.gateway.phase.send_replace(Phase::Leaving);
        sleep(leaving).await;
        self.gateway.phase.send_replace(Phase::Draining);
        self.gateway.waiting_due.notify_one();
        self.stop.send_replace(true);
        let mut carried = self.gateway.carried.subscribe();
        let mut draining = pin!(async {
            let _ = self.callers.await;
            let _ = carried.wait_for(|carried| *carried == 0).await;
        });
        let left = cut_after.saturating_sub(leaving + HANDOVER_TIME);
        let mut ended = timeout(left, &mut draining).await.is_ok();
        let handover = async {
            tokio::join!(hand_over_streams(&self.gateway), hand_over_retries(&self.gateway));
        };
        if ended {
            handover.await;
        } else {
            let (drained, ()) = tokio::join!(timeout(HANDOVER_TIME, draining), handover);
            ended = drained.is_ok();
        }
        self.running.send_replace(true);
        let mut peers = self.peers;
        if timeout(FLUSH_TIME, &mut peers).await.is_err() {
            peers.abort();
        }
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(event = Event::NodeStopped.number(), %node, ended);
    }
}

fn open(
    port: Port,
    handler: Arc<dyn Handler>,
    gateway: &Gateway,
    stop: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Report<NodeError>> {
    let address = port.address(&gateway.settings.ports);
    let listener: io::Result<_> = listen(address);
    let listener = listener.change_context(NodeError::Port(address))?;
    let grace = gateway.settings.bounds.grace.into();
    let options = ServerOptions {
        drain_timeout: grace,
        max_connections: port.max_connections(&gateway.settings.capacity),
        bodies: gateway.bodies.clone(),
        ..ServerOptions::default()
    };
    Ok(tokio::spawn(serve(listener, handler, options, stop)))
}
