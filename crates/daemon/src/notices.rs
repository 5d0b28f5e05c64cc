//! Notices of leaving VMs: two nodes per zone poll the platform, the others receive them from peers.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Source;
use bulrushhall_core::VmName;
use bulrushhall_external::{
    Cloud, VmList,
    clients::{HttpCloud, HttpVmList},
    http::{Endpoint, EndpointOptions},
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use crate::{
    config_watch::is_watcher,
    context::Context,
    members::Member,
    peers::{PeerMessage, PeerPort},
};

/// The poll interval of reclaim notices.
const NOTICE_PAUSE: Duration = Duration::from_millis(500);
/// The poll interval of the VM list; a short one gains nothing, since the list lags.
const LIST_PAUSE: Duration = Duration::from_secs(3);
/// The pause between two anti-entropy exchanges with another node.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(2);
/// The fraction of exchanges with a node of any zone instead of this node's zone.
const OTHER_ZONE_SHARE: f64 = 0.25;
/// The number of nodes in other zones to which new notices are sent at once.
const OTHER_ZONE_RECIPIENTS: usize = 2;

/// A `LeavingVms` is a message with leaving VMs.
///
/// If the receiver's hash differs, the reply contains the other VMs that it knows to be leaving.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeavingVms {
    /// The leaving VMs that the sender reports.
    pub vms: Vec<VmName>,
    /// The hash of all VMs that the sender knows to be leaving.
    pub hash: u64,
}

impl PeerMessage for LeavingVms {
    const PATH: &'static str = "/leaving";
    type Reply = Vec<VmName>;
}

/// Registers the handler of other nodes' reports of leaving VMs.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, msg: LeavingVms| async move {
        let differs = msg.hash != cx.leaving_hash();
        record_leaving(&cx, Source::Peer, msg.vms.clone());
        if differs { cx.known_leaving(&msg.vms) } else { Vec::new() }
    });
}

/// Records leaving VMs and forwards those that were not known to be leaving.
pub fn record_leaving(cx: &Context, source: Source, vms: Vec<VmName>) {
    let new = cx.note_leaving(source, vms);
    if !new.is_empty() {
        let _ = cx.leaving_updates.send(new);
    }
}

/// Polls the platform while this node is one of its zone's watchers.
pub async fn poll(cx: Arc<Context>) {
    let platform = &cx.settings.platform;
    let endpoint = |address| Endpoint::new(address, EndpointOptions::default());
    let cloud = platform.cloud.map(|address| HttpCloud::new(endpoint(address)));
    let list = platform.vm_list.map(|address| HttpVmList::new(endpoint(address)));
    let mut last_list = Instant::now();
    loop {
        if is_watcher(&cx) {
            if let Some(cloud) = &cloud {
                poll_cloud(&cx, cloud).await;
            }
            if LIST_PAUSE <= last_list.elapsed() {
                last_list = Instant::now();
                if let Some(list) = &list {
                    poll_list(&cx, list).await;
                }
            }
        }
        sleep(NOTICE_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    }
}

/// Sends each newly known leaving VM to other nodes at once.
pub async fn send_updates(cx: Arc<Context>, mut updates: mpsc::UnboundedReceiver<Vec<VmName>>) {
    while let Some(mut vms) = updates.recv().await {
        while let Ok(more) = updates.try_recv() {
            vms.extend(more);
        }
        for member in immediate_recipients(&cx) {
            let (cx, vms) = (Arc::clone(&cx), vms.clone());
            tokio::spawn(async move { send_leaving(&cx, &member, vms).await });
        }
    }
}

/// Regularly asks a random node for leaving VMs that are unknown here, which makes up for lost messages.
pub async fn run_anti_entropy(cx: Arc<Context>) {
    loop {
        sleep(EXCHANGE_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let members = cx.members.current();
        let zone = &cx.settings.node.zone;
        let other_zones = rand::random::<f64>() < OTHER_ZONE_SHARE;
        let candidates: Vec<&Member> =
            members.iter().filter(|member| other_zones || member.zone == *zone).collect();
        let some = candidates.choose(&mut rand::rng()).copied();
        let Some(member) = some.or_else(|| members.choose(&mut rand::rng())) else { continue };
        send_leaving(&cx, member, Vec::new()).await;
    }
}

async fn poll_cloud(cx: &Context, cloud: &dyn Cloud) {
    let Ok(notices) = cloud.notices().await else { return };
    record_leaving(cx, Source::Notice, notices.into_iter().map(|notice| notice.vm).collect());
}

async fn poll_list(cx: &Context, list: &dyn VmList) {
    let Ok(vms) = list.list().await else { return };
    let leaving = vms.into_iter().filter(|vm| vm.leaving);
    record_leaving(cx, Source::List, leaving.map(|vm| vm.vm).collect());
}

// A watcher sends to all nodes of its zone. Every node also forwards to a few nodes in other zones, so
// that a zone whose own watchers can't reach the platform receives the notice too.
fn immediate_recipients(cx: &Context) -> Vec<Member> {
    let members = cx.members.current();
    let zone = &cx.settings.node.zone;
    let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) =
        members.iter().partition(|member| member.zone == *zone);
    let mut recipients: Vec<Member> = Vec::new();
    if is_watcher(cx) {
        recipients.extend(same_zone.into_iter().cloned());
    }
    recipients.extend(
        other_zones
            .sample(&mut rand::rng(), OTHER_ZONE_RECIPIENTS)
            .map(|member| Member::clone(member)),
    );
    recipients
}

async fn send_leaving(cx: &Context, member: &Member, vms: Vec<VmName>) {
    let msg = LeavingVms { vms, hash: cx.leaving_hash() };
    let reply = cx.peers.send(cx, member.peers, Some(member.incarnation), msg).await;
    let Ok(vms) = reply else { return };
    record_leaving(cx, Source::Peer, vms);
}
