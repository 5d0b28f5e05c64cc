//! Discovery of backend servers, and closing those whose VMs are leaving.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_core::VmName;
use bulrushhall_external::{
    CallError, VmList,
    clients::HttpVmList,
    http::{Endpoint, EndpointOptions},
    vm_list::ListedVm,
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config_watch::is_watcher,
    context::Context,
    dispatcher::Close,
    node::refresh_workers,
    peers::{PeerMessage, PeerPort},
};

/// The poll interval of the VM list.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// The poll interval of the VMs that are known to be leaving.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

/// An `AskVms` is the request for another node's VM list unless it has this hash.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AskVms {
    known: u64,
}

impl PeerMessage for AskVms {
    const PATH: &'static str = "/vms";
    type Reply = Option<Vec<ListedVm>>;
}

/// Registers the handler of requests for the VM list.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, req: AskVms| async move {
        let listed = cx.backends.listed();
        (req.known != hash_of(&listed)).then_some(listed)
    });
}

/// Keeps the backend servers up to date with the VM list.
///
/// Two nodes per zone poll the platform and the others ask a node of their zone, so that the load on the
/// list service does not grow with the number of nodes. A list that still contains a dead VM does no
/// harm: calls to it fail on connecting or at the identity check, and are placed elsewhere.
pub async fn follow(cx: Arc<Context>) {
    let address = cx.settings.platform.vm_list;
    let list =
        address.map(|address| HttpVmList::new(Endpoint::new(address, EndpointOptions::default())));
    loop {
        let listed = match &list {
            Some(list) if is_watcher(&cx) => list.list().await.map(Some),
            _ => ask_peer(&cx).await,
        };
        // During an outage of the list service the last list stays in use.
        if let Ok(Some(listed)) = listed
            && cx.backends.set_listed(listed)
        {
            refresh_workers(&cx).await;
        }
        sleep(LIST_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    }
}

/// Closes the backend servers of leaving VMs permanently.
pub async fn close_leaving(cx: Arc<Context>) {
    let mut closed: Arc<BTreeSet<VmName>> = Arc::default();
    loop {
        sleep(LEAVING_PAUSE).await;
        let leaving = cx.leaving_vms.load_full();
        if Arc::ptr_eq(&leaving, &closed) {
            continue;
        }
        for vm in leaving.difference(&closed) {
            close(&cx, vm).await;
        }
        closed = leaving;
    }
}

async fn close(cx: &Context, vm: &VmName) {
    for (key, backend) in cx.backends.close(vm) {
        let close = Close { service: backend.service, key };
        let _ = cx.dispatcher.send(close).await;
    }
}

async fn ask_peer(cx: &Context) -> Result<Option<Vec<ListedVm>>, CallError> {
    let members = cx.members.current();
    let zone = &cx.settings.node.zone;
    let same_zone: Vec<_> = members.iter().filter(|member| member.zone == *zone).collect();
    let Some(member) = same_zone.choose(&mut rand::rng()) else { return Ok(None) };
    let req = AskVms { known: hash_of(&cx.backends.listed()) };
    cx.peers.send(cx, member.peers, Some(member.incarnation), req).await
}

fn hash_of(listed: &[ListedVm]) -> u64 {
    // A list contains only names and addresses, for which serialization cannot fail.
    xxh3_64(&rmp_serde::to_vec(listed).unwrap_or_default())
}
