//! Following the configuration: two nodes a zone watch the service, the others ask peers.

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

/// The number of nodes of a zone that watch the service.
const WATCHERS: usize = 2;
/// How long one watch waits; less than the time-out of a call.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The pause of a node that has nothing to do.
const PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// The peers that a node that is behind asks in one round.
const ASKED: usize = 4;

/// A `FetchConfig` asks for the configuration if the receiver has a newer one.
#[derive(Serialize, Deserialize)]
pub struct FetchConfig {
    newer_than: Revision,
}

impl PeerMessage for FetchConfig {
    const PATH: &'static str = "/config";
    type Reply = Option<Bytes>;
}

/// Registers what is done with a question for the configuration.
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
    // Each node looks once at its start: it may be the first, or its peers may be behind too.
    let mut seen = read_service(&cx, kv.as_ref()).await;
    loop {
        let Some(after) = seen else {
            failures += 1;
            sleep(back_off(failures)).await;
            if is_watcher(&cx) || cx.in_force().revision == Revision(0) {
                seen = read_service(&cx, kv.as_ref()).await;
            }
            continue;
        };
        failures = 0;
        if !is_watcher(&cx) {
            sleep(PAUSE).await;
            continue;
        }
        seen = match kv.watch(HEAD_KEY, after, WATCH_WAIT).await {
            Ok(seen) if seen.changes.is_empty() => {
                cx.note_contact();
                Some(after)
            }
            Ok(_) => read_service(&cx, kv.as_ref()).await,
            Err(_) => None,
        };
    }
}

/// Asks peers for the configuration whenever one of them is ahead.
pub async fn catch_up(cx: Arc<Context>) {
    let mut highest = cx.highest_revision.subscribe();
    let mut failures = 0;
    loop {
        let known = *highest.borrow_and_update();
        if known <= cx.in_force().revision {
            failures = 0;
            // A node without any configuration asks on its own: it may have started in an outage.
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
        sleep(back_off(failures)).await;
    }
}

/// Returns whether this node is one of those of its zone that call the platform for it.
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
    take(cx, &found.value).await;
    Some(found.version)
}

// The one that told of the newest revision has it for sure; after it, peers near by are asked.
async fn ask_peers(cx: &Context) -> bool {
    let members = cx.members.current();
    let teller = cx.revision_teller();
    let zone = &cx.settings.node.zone;
    let mut asked: Vec<&Member> = members.iter().collect();
    asked.sort_by_key(|member| {
        let hash = member.incarnation.0 ^ cx.incarnation.0;
        (Some(member.incarnation) != teller, member.zone != *zone, hash)
    });
    for member in asked.into_iter().take(ASKED) {
        let before = cx.in_force().revision;
        let fetch = FetchConfig { newer_than: before };
        let reply = cx.peers.send(cx, member.peers, Some(member.incarnation), fetch).await;
        let Ok(Some(value)) = reply else { continue };
        take(cx, &value).await;
        if before < cx.in_force().revision {
            return true;
        }
    }
    false
}

// A late reply may carry an older revision than the one in force. Taking it would bring back
// what an operator has replaced, so the comparison and the change are done under one lock.
async fn take(cx: &Context, value: &Bytes) {
    let Ok(head) = Head::decode(value) else { return };
    let _gate = cx.config_gate.lock().await;
    if head.revision <= cx.in_force().revision {
        return;
    }
    put_in_force(cx, head.revision, head.text.as_bytes()).await;
    if cx.in_force().revision == head.revision {
        cx.document.store(Arc::new(value.clone()));
        cx.note_revision(head.revision, cx.incarnation);
    }
}

fn back_off(failures: u32) -> Duration {
    let full = PAUSE.saturating_mul(1 << failures.min(6)).min(LONGEST_PAUSE);
    full.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}
