//! One node: its ports, what it follows, and its stop.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use bulrushhall_external::http::{Handler, ServerOptions, listen, serve};
use error_stack::{Report, ResultExt};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use crate::{
    cluster::{PeerPort, exchange, follow_backends, follow_config, follow_members, register},
    duties::{Holder, carry_out, keep},
    gateway::{Gateway, Phase, Platform},
    ports::{CallerPort, DirectoryPort, ReadinessPort},
    settings::Settings,
};

/// How long a node that was told to stop still takes requests: other nodes no longer name it within
/// half a second, and callers ask anew every two.
const LEAVING_FOR: Duration = Duration::from_millis(2_200);
/// What is left of the grace when the node gives up what has not ended.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// The most connections of callers: half of the descriptors that the smallest VM of the early users
/// has; the rest is for backend servers.
const CONNECTIONS: usize = 2_000;

/// A `NodeError` tells why a node could not start.
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
    _running: watch::Sender<bool>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Opens the ports and begins to serve.
    pub fn start(settings: Settings, platform: Platform) -> Result<Node, Report<NodeError>> {
        let gateway = Arc::new(Gateway::new(settings, platform));
        let stop = watch::Sender::new(false);
        let ports = &gateway.settings.ports;
        let handler: Arc<dyn Handler> = Arc::new(CallerPort::new(Arc::clone(&gateway)));
        let callers = open(ports.callers, handler, &gateway, stop.subscribe())?;
        let others: [(SocketAddr, Arc<dyn Handler>); 3] = [
            (ports.directory, Arc::new(DirectoryPort::new(Arc::clone(&gateway)))),
            (ports.readiness, Arc::new(ReadinessPort::new(Arc::clone(&gateway)))),
            (ports.peers, Arc::new(PeerPort::new(Arc::clone(&gateway)))),
        ];
        // These answer until the process ends: a node that stops still tells what it knows.
        let running = watch::Sender::new(false);
        let mut tasks = Vec::new();
        for (address, handler) in others {
            tasks.push(open(address, handler, &gateway, running.subscribe())?);
        }
        tasks.push(tokio::spawn(follow_config(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(follow_backends(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(follow_members(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(register(Arc::clone(&gateway))));
        tasks.push(tokio::spawn(exchange(Arc::clone(&gateway))));
        let holder = Arc::new(Holder::new(Arc::clone(&gateway)));
        tasks.push(tokio::spawn(keep(Arc::clone(&holder))));
        tasks.push(tokio::spawn(carry_out(Arc::clone(&gateway), holder)));
        tracing::info!(
            event = Event::NodeStarted.number(),
            node = %gateway.settings.gateway.name,
            incarnation = gateway.incarnation.0
        );
        Ok(Node { gateway, stop, _running: running, callers, tasks })
    }

    /// Returns what every part of the node reaches.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Stops: out of the addresses first, then no new requests, then the end of those open.
    pub async fn stop(self) {
        let node = &self.gateway.settings.gateway.name;
        tracing::info!(event = Event::NodeLeaving.number(), %node);
        let grace = Duration::from(self.gateway.settings.bounds.grace);
        let leaving = LEAVING_FOR.min(grace / 3);
        self.gateway.phase.send_replace(Phase::Leaving);
        sleep(leaving).await;
        self.gateway.phase.send_replace(Phase::Ending);
        self.stop.send_replace(true);
        let left = grace.saturating_sub(leaving + GRACE_MARGIN);
        let ended = tokio::time::timeout(left, self.callers).await.is_ok();
        for task in &self.tasks {
            task.abort();
        }
        tracing::info!(event = Event::NodeStopped.number(), %node, ended);
    }
}

fn open(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    gateway: &Gateway,
    stop: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, Report<NodeError>> {
    let listener: io::Result<_> = listen(address);
    let listener = listener.change_context(NodeError::Port(address))?;
    let grace = gateway.settings.bounds.grace.into();
    let options = ServerOptions {
        drain_timeout: grace,
        max_connections: CONNECTIONS,
        ..ServerOptions::default()
    };
    Ok(tokio::spawn(serve(listener, handler, options, stop)))
}
