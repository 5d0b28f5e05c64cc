//! A node with its own runtime, so that it can be killed like a process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bulrushhall_core::NodeName;
use bulrushhall_daemon::{Node, Settings, context::Context};
use tokio::runtime::{Builder, Runtime};

use crate::testbed::TestbedError;

/// The name of the threads that nodes run on; the simulated servers run on other threads.
pub const NODE_THREAD: &str = "node";
/// The number of threads of a node's runtime.
const THREADS_PER_NODE: usize = 2;

/// A `NodeProcess` is a node with its own runtime.
///
/// Killing it drops all tasks of the node at once at any await point, like the death of a process.
/// Detached tasks of a node that shared the test's runtime would keep running.
pub struct NodeProcess {
    cx: Arc<Context>,
    running: Mutex<Option<(Node, Runtime)>>,
}

impl NodeProcess {
    /// Starts a node.
    pub async fn start(settings: Settings) -> Result<NodeProcess, TestbedError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS_PER_NODE)
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
        Ok(NodeProcess { cx, running: Mutex::new(Some((node, runtime))) })
    }

    /// Returns the shared context of the node.
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
        self.running.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).is_some()
    }

    /// Stops the node gracefully, as SIGTERM would.
    pub async fn stop(&self) {
        let Some((node, runtime)) = self.take() else { return };
        let _ = runtime.spawn(node.stop()).await;
        runtime.shutdown_background();
    }

    /// Ends the node immediately, like the death of its process.
    pub fn kill(&self) {
        let Some((node, runtime)) = self.take() else { return };
        node.kill();
        runtime.shutdown_background();
    }

    fn take(&self) -> Option<(Node, Runtime)> {
        self.running.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
