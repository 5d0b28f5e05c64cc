//! Following which backend servers there are and which of them take new work.

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

/// The pause between two looks at the list of VMs.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// The pause between two looks at the VMs that are known to leave.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

/// An `AskVms` asks another node for its list of VMs, unless it is the one with this hash.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AskVms {
    known: u64,
}

impl PeerMessage for AskVms {
    const PATH: &'static str = "/vms";
    type Reply = Option<Vec<ListedVm>>;
}

/// Registers what is done when another node asks for the list of VMs.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, asked: AskVms| async move {
        let listed = cx.backends.listed();
        (asked.known != hash_of(&listed)).then_some(listed)
    });
}

/// Keeps the backend servers those of the list of VMs.
///
/// Two nodes a zone ask the platform, the others ask a node of their zone, so that the list's
/// load does not grow with the number of nodes. A list that still shows a dead VM does no harm:
/// its calls fail at the identity check or on connecting, and are placed elsewhere.
pub async fn follow(cx: Arc<Context>) {
    let address = cx.settings.platform.vm_list;
    let list =
        address.map(|address| HttpVmList::new(Endpoint::new(address, EndpointOptions::default())));
    loop {
        let listed = match &list {
            Some(list) if is_watcher(&cx) => list.list().await.map(Some),
            _ => ask_peer(&cx).await,
        };
        // During an outage of the list the last one stays.
        if let Ok(Some(listed)) = listed
            && cx.backends.set_listed(listed)
        {
            refresh_workers(&cx).await;
        }
        sleep(LIST_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    }
}

/// Closes the backend servers of VMs that are known to leave, for good.
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
    let near: Vec<_> = members.iter().filter(|member| member.zone == *zone).collect();
    let Some(member) = near.choose(&mut rand::rng()) else { return Ok(None) };
    let asked = AskVms { known: hash_of(&cx.backends.listed()) };
    cx.peers.send(cx, member.peers, Some(member.incarnation), asked).await
}

fn hash_of(listed: &[ListedVm]) -> u64 {
    // A list holds only names and addresses, for which serialization cannot fail.
    xxh3_64(&rmp_serde::to_vec(listed).unwrap_or_default())
}
