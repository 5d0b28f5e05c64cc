//! Following which VMs leave: two nodes a zone ask the platform, the others hear of it from peers.

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

/// The pause between two looks at the notices.
const NOTICE_PAUSE: Duration = Duration::from_millis(500);
/// The pause between two looks at the list of VMs, which lags anyway.
const LIST_PAUSE: Duration = Duration::from_secs(3);
/// The pause between two comparisons with another node.
const COMPARE_PAUSE: Duration = Duration::from_secs(2);
/// The share of comparisons that are made with a node of any zone.
const FAR_SHARE: f64 = 0.25;
/// The nodes elsewhere that are told at once.
const FAR_TOLD: usize = 2;

/// A `LeavingVms` tells which VMs leave and asks for those that the sender does not know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeavingVms {
    /// The VMs that the sender tells of.
    pub vms: Vec<VmName>,
    /// A hash of all that the sender knows to leave.
    pub hash: u64,
}

impl PeerMessage for LeavingVms {
    const PATH: &'static str = "/leaving";
    type Reply = Vec<VmName>;
}

/// Registers what is done when another node tells of leaving VMs.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, told: LeavingVms| async move {
        let differs = told.hash != cx.leaving_hash();
        take(&cx, Source::Peer, told.vms.clone());
        if differs { cx.known_leaving(&told.vms) } else { Vec::new() }
    });
}

/// Notes VMs that are leaving and passes on those that were not known to.
pub fn take(cx: &Context, source: Source, vms: Vec<VmName>) {
    let new = cx.note_leaving(source, vms);
    if !new.is_empty() {
        let _ = cx.leaving_news.send(new);
    }
}

/// Asks the platform while this node is one of its zone's watchers.
pub async fn poll(cx: Arc<Context>) {
    let platform = &cx.settings.platform;
    let endpoint = |address| Endpoint::new(address, EndpointOptions::default());
    let cloud = platform.cloud.map(|address| HttpCloud::new(endpoint(address)));
    let list = platform.vm_list.map(|address| HttpVmList::new(endpoint(address)));
    let mut listed = Instant::now();
    loop {
        if is_watcher(&cx) {
            if let Some(cloud) = &cloud {
                ask_cloud(&cx, cloud).await;
            }
            if LIST_PAUSE <= listed.elapsed() {
                listed = Instant::now();
                if let Some(list) = &list {
                    ask_list(&cx, list).await;
                }
            }
        }
        sleep(NOTICE_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
    }
}

/// Tells others at once of each VM that was not known to leave.
pub async fn spread(cx: Arc<Context>, mut news: mpsc::UnboundedReceiver<Vec<VmName>>) {
    while let Some(mut vms) = news.recv().await {
        while let Ok(more) = news.try_recv() {
            vms.extend(more);
        }
        for member in told_at_once(&cx) {
            let (cx, vms) = (Arc::clone(&cx), vms.clone());
            tokio::spawn(async move { tell(&cx, &member, vms).await });
        }
    }
}

/// Compares with another node again and again, which makes up for messages that were lost.
pub async fn compare(cx: Arc<Context>) {
    loop {
        sleep(COMPARE_PAUSE.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        let members = cx.members.current();
        let zone = &cx.settings.node.zone;
        let far = rand::random::<f64>() < FAR_SHARE;
        let near: Vec<&Member> =
            members.iter().filter(|member| far || member.zone == *zone).collect();
        let some = near.choose(&mut rand::rng()).copied();
        let Some(member) = some.or_else(|| members.choose(&mut rand::rng())) else { continue };
        tell(&cx, member, Vec::new()).await;
    }
}

async fn ask_cloud(cx: &Context, cloud: &dyn Cloud) {
    let Ok(notices) = cloud.notices().await else { return };
    take(cx, Source::Notice, notices.into_iter().map(|notice| notice.vm).collect());
}

async fn ask_list(cx: &Context, list: &dyn VmList) {
    let Ok(vms) = list.list().await else { return };
    let leaving = vms.into_iter().filter(|vm| vm.leaving);
    take(cx, Source::List, leaving.map(|vm| vm.vm).collect());
}

// A node that heard it from the platform tells its whole zone. The others pass it on to a few, so
// that a zone whose own watchers can't reach the platform hears of it too.
fn told_at_once(cx: &Context) -> Vec<Member> {
    let members = cx.members.current();
    let zone = &cx.settings.node.zone;
    let (near, far): (Vec<&Member>, Vec<&Member>) =
        members.iter().partition(|member| member.zone == *zone);
    let mut told: Vec<Member> = Vec::new();
    if is_watcher(cx) {
        told.extend(near.into_iter().cloned());
    }
    told.extend(far.sample(&mut rand::rng(), FAR_TOLD).map(|member| Member::clone(member)));
    told
}

async fn tell(cx: &Context, member: &Member, vms: Vec<VmName>) {
    let told = LeavingVms { vms, hash: cx.leaving_hash() };
    let reply = cx.peers.send(cx, member.peers, Some(member.incarnation), told).await;
    let Ok(vms) = reply else { return };
    take(cx, Source::Peer, vms);
}
