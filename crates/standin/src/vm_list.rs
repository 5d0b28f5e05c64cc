//! A simulated list of VMs that lags behind the actual ones.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_core::VmName;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler},
    vm_list::ListedVm,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time::Instant;

use crate::{reply, running_server::RunningServer, switches::Switches};

/// A `VmListServer` is a list of VMs whose changes become visible after a lag.
pub struct VmListServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

struct Shared {
    lag: Duration,
    changes: Mutex<Vec<(Instant, Change)>>,
    switches: Switches,
}

enum Change {
    Put(ListedVm),
    Remove(VmName),
}

impl VmListServer {
    /// Starts the list on a free loopback port; changes become visible after `lag`.
    pub async fn start(lag: Duration) -> io::Result<VmListServer> {
        let shared =
            Arc::new(Shared { lag, changes: Mutex::default(), switches: Switches::new(3) });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok(VmListServer { shared, running })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }

    /// Adds a VM to the list or replaces its entry.
    pub fn put(&self, vm: ListedVm) {
        self.shared.record(Change::Put(vm));
    }

    /// Removes a VM from the list.
    pub fn remove(&self, vm: &VmName) {
        self.shared.record(Change::Remove(vm.clone()));
    }
}

impl Shared {
    fn record(&self, change: Change) {
        let mut changes = self.changes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        changes.push((Instant::now(), change));
    }

    fn list(&self) -> Vec<ListedVm> {
        let changes = self.changes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut listed: Vec<ListedVm> = Vec::new();
        for (at, change) in changes.iter() {
            if at.elapsed() < self.lag {
                break;
            }
            let (vm, put) = match change {
                Change::Put(put) => (&put.vm, Some(put)),
                Change::Remove(vm) => (vm, None),
            };
            listed.retain(|entry| entry.vm != *vm);
            listed.extend(put.cloned());
        }
        listed
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if self.switches.delay_call().await.outage {
                return reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            reply::json(&self.list())
        })
    }
}
