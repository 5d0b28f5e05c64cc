//! The server task of a simulated server, which can be aborted to simulate the failure of its VM.

use std::{io, net::SocketAddr, sync::Arc};

use bulrushhall_external::http::{Handler, ServerOptions, listen, serve};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinHandle},
};

use crate::loopback::unused_address;

/// A `RunningServer` is an HTTP server that runs until it is killed or dropped.
pub struct RunningServer {
    address: SocketAddr,
    task: JoinHandle<()>,
    _stop: watch::Sender<bool>,
}

impl RunningServer {
    /// Starts a server for `handler` on an unused loopback address.
    pub async fn start(handler: Arc<dyn Handler>) -> io::Result<RunningServer> {
        RunningServer::start_at(unused_address(), handler).await
    }

    /// Starts a server for `handler` on `address`.
    pub async fn start_at(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> io::Result<RunningServer> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, handler, ServerOptions::default(), stopped));
        Ok(RunningServer { address, task, _stop: stop })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that kills the server.
    pub fn kill_handle(&self) -> AbortHandle {
        self.task.abort_handle()
    }

    /// Aborts the server and closes its connections immediately.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
