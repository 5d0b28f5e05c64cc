//! One node with a runtime of its own, so that it can die like a process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bulrushhall_core::NodeName;
use bulrushhall_daemon::{Node, Settings, context::Context};
use tokio::runtime::{Builder, Runtime};

use crate::testbed::TestbedError;

/// The name of the threads that nodes run on; the stand-ins run on others.
pub const NODE_THREAD: &str = "node";
/// The threads of one node's runtime.
const THREADS: usize = 2;

/// A `NodeProcess` is one node with a runtime of its own.
///
/// Killing it drops every task of the node at once, wherever it stands, as the death of its
/// process would; a node that shared the test's runtime would go on in its detached tasks.
pub struct NodeProcess {
    cx: Arc<Context>,
    parts: Mutex<Option<(Node, Runtime)>>,
}

impl NodeProcess {
    /// Starts a node.
    pub async fn start(settings: Settings) -> Result<NodeProcess, TestbedError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name(NODE_THREAD)
            .enable_all()
            .build()?;
        let started = runtime.spawn(Node::start(settings)).await;
        let node = match started {
            Ok(Ok(node)) => node,
            Ok(Err(report)) => {
                runtime.shutdown_background();
                return Err(TestbedError::Node(report));
            }
            Err(_) => {
                runtime.shutdown_background();
                return Err(TestbedError::Late);
            }
        };
        let cx = Arc::clone(node.context());
        Ok(NodeProcess { cx, parts: Mutex::new(Some((node, runtime))) })
    }

    /// Returns what the parts of the node share.
    pub fn context(&self) -> &Arc<Context> {
        &self.cx
    }

    /// Returns the node's name.
    pub fn name(&self) -> &NodeName {
        &self.cx.settings.node.name
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.cx.settings.node.callers
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.cx.settings.node.operators
    }

    /// Returns whether the node has neither been stopped nor killed.
    pub fn is_alive(&self) -> bool {
        self.parts.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).is_some()
    }

    /// Stops the node gracefully, as SIGTERM would.
    pub async fn stop(&self) {
        let Some((node, runtime)) = self.take() else { return };
        let _ = runtime.spawn(node.stop()).await;
        runtime.shutdown_background();
    }

    /// Ends the node at once.
    pub fn kill(&self) {
        let Some((node, runtime)) = self.take() else { return };
        node.kill();
        runtime.shutdown_background();
    }

    fn take(&self) -> Option<(Node, Runtime)> {
        self.parts.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
