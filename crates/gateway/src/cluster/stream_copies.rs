//! Copies of the origins of streams at other nodes, and questions for them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_coord::streams::{CopyDelivery, Found, StreamBatch, StreamKey, asked_nodes};
use bulrushhall_external::http::{BodyTimeouts, Endpoint};
use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{sleep, timeout};

use crate::{
    brittle::node_hash,
    clock,
    cluster::{
        Member,
        gossip::{RESPONSE_TIMEOUT, call},
    },
    gateway::{Gateway, State},
    meters,
    streams::{StreamState, note_active},
};

/// The path to which copies are sent.
pub const COPIES_PATH: &str = "/streams/copies";
/// The path to which questions are sent.
pub const FIND_PATH: &str = "/streams/find";
/// How long copies are collected: a stream whose node dies within this time is not known to others.
const COLLECTING_TIME: Duration = Duration::from_millis(80);
/// The pause after which copies that a node did not take are sent to another one.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long answers to a question are waited for.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after this node stood still the others are asked that were alive before: their next digests arrive within it.
const PAUSE_COUNTS_FOR: Duration = Duration::from_millis(1_500);
/// How long nodes that may be dead are not asked again after none answered.
const VAIN_COUNTS_FOR: Duration = Duration::from_millis(500);
/// How long a node that stops waits until its copies are with others.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// The time limits of these messages.
const TIMEOUTS: BodyTimeouts = BodyTimeouts { idle: RESPONSE_TIMEOUT, total: RESPONSE_TIMEOUT };

/// `CopiesTaken` confirms the copies of a [`StreamBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopiesTaken {
    /// The number of streams.
    pub streams: usize,
}

/// `FindStreams` asks for the origins of streams; the reply is a [`StreamBatch`] of those that are known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindStreams {
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Sends copies to other nodes forever, in batches.
pub async fn copy_streams(gateway: Arc<Gateway>) {
    loop {
        gateway.copies_due.notified().await;
        sleep(COLLECTING_TIME).await;
        for delivery in take_deliveries(&gateway) {
            tokio::spawn(delivery.send(Arc::clone(&gateway)));
        }
    }
}

/// Gives copies of all that this node knows to others, before it stops.
pub async fn hand_over_streams(gateway: &Arc<Gateway>) {
    gateway.with(|state| {
        let keys: Vec<StreamKey> = state.streams.origins.keys().collect();
        keys.into_iter().for_each(|key| state.streams.copies.push(key));
    });
    let mut sending = FuturesUnordered::new();
    for delivery in take_deliveries(gateway) {
        sending.push(delivery.send(Arc::clone(gateway)));
    }
    let _ = timeout(HANDOVER_TIMEOUT, async { while sending.next().await.is_some() {} }).await;
}

/// Notes the copies of another node.
pub fn take_copies(gateway: &Gateway, batch: &StreamBatch) -> CopiesTaken {
    let now = clock::now();
    let lifetime = Duration::from_millis(batch.left_ms);
    gateway.with(|state| {
        for (key, origin) in batch.iter() {
            state.streams.origins.note(now, lifetime, key, origin);
        }
    });
    CopiesTaken { streams: batch.streams.len() }
}

/// Returns those of the streams that this node knows.
pub fn known_streams(gateway: &Gateway, asked: &FindStreams) -> StreamBatch {
    let now = clock::now();
    gateway.with(|state| state.streams.origins.batch(now, asked.streams.iter().copied()))
}

/// Asks other nodes for a stream; returns what the first one answers that knows it.
pub async fn find_stream(gateway: &Gateway, key: StreamKey) -> Option<Found> {
    let began = clock::now();
    let question = FindStreams { streams: vec![key] };
    let found = ask_others(gateway, key, (FIND_PATH, &question), |known: StreamBatch| {
        known.iter().find(|(known, _)| *known == key).map(|(_, origin)| Found::new(origin))
    });
    let found = found.await;
    let outcome = if found.is_some() { "found" } else { "unknown" };
    meters::stream_asked(outcome, clock::now().since(began));
    found
}

/// Asks the nodes that may know of a stream; returns the first answer that `read` finds something in.
pub async fn ask_others<T: DeserializeOwned, U>(
    gateway: &Gateway,
    key: StreamKey,
    (path, question): (&str, &impl Serialize),
    read: impl Fn(T) -> Option<U>,
) -> Option<U> {
    let Asked { peers, may_be_dead } = gateway.with(asked)?;
    let mut answers = FuturesUnordered::new();
    for endpoint in asked_nodes(key, peers) {
        answers.push(async move { send::<T>(&endpoint, path, question).await });
    }
    let mut answered = false;
    let first = async {
        while let Some(answer) = answers.next().await {
            answered |= answer.is_some();
            let Some(found) = answer.and_then(&read) else { continue };
            return Some(found);
        }
        None
    };
    let found = timeout(FIND_TIMEOUT, first).await.ok().flatten();
    if may_be_dead && !answered {
        gateway.with(|state| state.streams.unanswered_at = Some(clock::now()));
    }
    found
}

/// The nodes that may be asked.
struct Asked {
    peers: HashMap<u64, Arc<Endpoint>>,
    /// Whether nothing shows that one of them is alive.
    may_be_dead: bool,
}

// Returns the nodes to ask: those that are alive, also those that were when this node began to stand still. A node that
// hears of no other one asks all, unless that was in vain lately.
fn asked(state: &mut State) -> Option<Asked> {
    let now = clock::now();
    note_active(state, now);
    let pause = state.streams.pauses.recent(now, PAUSE_COUNTS_FOR);
    let is_live = |member: &Member| {
        member.is_live(now) || pause.is_some_and(|pause| member.is_live(pause.began))
    };
    let live = peers(state, is_live);
    if !live.is_empty() {
        return Some(Asked { peers: live, may_be_dead: false });
    }
    let was_in_vain = |at| now.since(at) < VAIN_COUNTS_FOR;
    if state.streams.unanswered_at.is_some_and(was_in_vain) {
        return None;
    }
    Some(Asked { peers: peers(state, |_| true), may_be_dead: true })
}

// Returns the other nodes that are alive, by their hashes.
fn live_peers(state: &State) -> HashMap<u64, Arc<Endpoint>> {
    let now = clock::now();
    peers(state, |member| member.is_live(now))
}

fn peers(state: &State, is_taken: impl Fn(&Member) -> bool) -> HashMap<u64, Arc<Endpoint>> {
    let taken = state.members.iter().filter(|(_, member)| is_taken(member));
    taken.map(|(name, member)| (node_hash(name), Arc::clone(&member.endpoint))).collect()
}

/// Copies on their way to one node.
struct AddressedDelivery {
    node: u64,
    endpoint: Arc<Endpoint>,
    delivery: CopyDelivery,
}

fn take_deliveries(gateway: &Gateway) -> Vec<AddressedDelivery> {
    gateway.with(|state| {
        let peers = live_peers(state);
        let hashes: Vec<u64> = peers.keys().copied().collect();
        let StreamState { origins, copies, .. } = &mut state.streams;
        let mut addressed = Vec::new();
        for (node, delivery) in copies.take(clock::now(), origins, &hashes) {
            let Some(endpoint) = peers.get(&node).map(Arc::clone) else { continue };
            addressed.push(AddressedDelivery { node, endpoint, delivery });
        }
        addressed
    })
}

impl AddressedDelivery {
    async fn send(self, gateway: Arc<Gateway>) {
        let AddressedDelivery { node, endpoint, delivery } = self;
        let taken: Option<CopiesTaken> = send(&endpoint, COPIES_PATH, &delivery.batch).await;
        let streams = delivery.batch.streams.len();
        let is_taken = taken.is_some_and(|taken| taken.streams == streams);
        meters::streams_copied(if is_taken { "taken" } else { "refused" }, streams);
        if is_taken {
            return;
        }
        gateway.with(|state| state.streams.copies.push_refused(&delivery, node));
        sleep(RETRY_PAUSE).await;
        gateway.copies_due.notify_one();
    }
}

async fn send<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    message: &impl Serialize,
) -> Option<T> {
    let message = rmp_serde::to_vec_named(message).ok()?;
    call(endpoint, path, Bytes::from(message), TIMEOUTS).await.ok()
}
