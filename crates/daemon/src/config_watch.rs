//! Configuration updates: two nodes per zone watch the key-value service, the others ask peers.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::{Head, Purpose, chain::HEAD_KEY};
use bulrushhall_core::Revision;
use bulrushhall_external::{KeyValue, kv::Version};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    context::Context,
    members::Member,
    node::put_in_force,
    peers::{PeerMessage, PeerPort},
};

/// The number of nodes per zone that watch the service.
const WATCHERS: usize = 2;
/// The duration of one watch; shorter than the timeout of a call.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The pause of a node that does not watch or has no configuration yet, and the base of the backoff.
const PAUSE: Duration = Duration::from_millis(250);
/// The maximum backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// The number of peers that a node with an old revision asks in one round.
const MAX_ASKED: usize = 4;

/// A `FetchConfig` is the request for the configuration if the receiver has a newer one.
#[derive(Serialize, Deserialize)]
pub struct FetchConfig {
    newer_than: Revision,
}

impl PeerMessage for FetchConfig {
    const PATH: &'static str = "/config";
    type Reply = Option<Bytes>;
}

/// Registers the handler of requests for the configuration.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, fetch: FetchConfig| async move {
        if cx.in_force().revision <= fetch.newer_than {
            return None;
        }
        Some(Bytes::clone(&cx.document.load()))
    });
}

/// Watches the service while this node is one of its zone's watchers.
pub async fn watch_service(cx: Arc<Context>) {
    let Some(kv) = cx.key_value_for(Purpose::Config) else { return };
    let mut failures = 0;
    // Each node reads once at its start: it may be the first, or its peers may have old revisions too.
    let mut version = read_service(&cx, kv.as_ref()).await;
    loop {
        let Some(after) = version else {
            failures += 1;
            sleep(backoff(failures)).await;
            if is_watcher(&cx) || cx.in_force().revision == Revision(0) {
                version = read_service(&cx, kv.as_ref()).await;
            }
            continue;
        };
        failures = 0;
        if !is_watcher(&cx) {
            sleep(PAUSE).await;
            continue;
        }
        version = match kv.watch(HEAD_KEY, after, WATCH_WAIT).await {
            Ok(found) if found.changes.is_empty() => {
                cx.note_contact();
                Some(after)
            }
            Ok(_) => read_service(&cx, kv.as_ref()).await,
            Err(_) => None,
        };
    }
}

/// Asks peers for the configuration whenever one of them has a newer revision.
pub async fn catch_up(cx: Arc<Context>) {
    let mut highest = cx.highest_revision.subscribe();
    let mut failures = 0;
    loop {
        let known = *highest.borrow_and_update();
        if known <= cx.in_force().revision {
            failures = 0;
            // A node without a configuration asks its peers regularly: it may have started during an
            // outage of the key-value service.
            if cx.in_force().revision == Revision(0) {
                ask_peers(&cx).await;
                sleep(PAUSE).await;
                continue;
            }
            if highest.changed().await.is_err() {
                return;
            }
            continue;
        }
        if ask_peers(&cx).await {
            continue;
        }
        if let Some(kv) = cx.key_value_for(Purpose::Config) {
            read_service(&cx, kv.as_ref()).await;
        }
        failures += 1;
        sleep(backoff(failures)).await;
    }
}

/// Returns whether this node is one of those that poll the platform for its zone.
pub fn is_watcher(cx: &Context) -> bool {
    let members = cx.members.current();
    let own = (&cx.settings.node.name, cx.incarnation);
    let zone = &cx.settings.node.zone;
    let alive = members.iter().filter(|member| member.zone == *zone && !member.leaving);
    let before = alive.filter(|member| (&member.node, member.incarnation) < own).count();
    before < WATCHERS
}

async fn read_service(cx: &Context, kv: &dyn KeyValue) -> Option<Version> {
    let found = kv.get(HEAD_KEY).await.ok()?;
    cx.note_contact();
    apply_if_newer(cx, &found.value).await;
    Some(found.version)
}

// The peer that reported the newest revision certainly has it and is asked first, then peers in the
// same zone.
async fn ask_peers(cx: &Context) -> bool {
    let members = cx.members.current();
    let source = cx.revision_source();
    let zone = &cx.settings.node.zone;
    let mut peers: Vec<&Member> = members.iter().collect();
    peers.sort_by_key(|member| {
        let hash = member.incarnation.0 ^ cx.incarnation.0;
        (Some(member.incarnation) != source, member.zone != *zone, hash)
    });
    for member in peers.into_iter().take(MAX_ASKED) {
        let before = cx.in_force().revision;
        let fetch = FetchConfig { newer_than: before };
        let reply = cx.peers.send(cx, member.peers, Some(member.incarnation), fetch).await;
        let Ok(Some(value)) = reply else { continue };
        apply_if_newer(cx, &value).await;
        if before < cx.in_force().revision {
            return true;
        }
    }
    false
}

// A late reply may contain an older revision than the one in force. Applying it would restore what an
// operator has replaced, so the comparison and the change are done under one lock.
async fn apply_if_newer(cx: &Context, value: &Bytes) {
    let Ok(head) = Head::decode(value) else { return };
    let _guard = cx.config_lock.lock().await;
    if head.revision <= cx.in_force().revision {
        return;
    }
    put_in_force(cx, head.revision, head.text.as_bytes()).await;
    if cx.in_force().revision == head.revision {
        cx.document.store(Arc::new(value.clone()));
        cx.note_revision(head.revision, cx.incarnation);
    }
}

fn backoff(failures: u32) -> Duration {
    let full = PAUSE.saturating_mul(1 << failures.min(6)).min(MAX_BACKOFF);
    full.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}
