//! Prompt parts under which backend servers crash: the evidence of this node, and what it refuses because of all nodes'.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::crashes::{
    Block, BlockState, BlockStatus, CrashReport, CrashWatch, CrashedRequest, PartId, PartIds,
    Received, SoundReport,
};
use bulrushhall_core::{Event, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    backends::{ListenerState, listener_state},
    brittle::node_hash,
    clock,
    cluster::{as_millis, claim_probe},
    gateway::{Gateway, State},
    meters,
    pipeline::{Failure, IdentifiedRequest, Placement},
};

/// How long broken answers of a server are collected until it is checked whether the server has ended.
const COLLECTING_TIME: Duration = Duration::from_millis(40);
/// The time after which an answer that is being written has not crashed its server.
const BEGINNING: Duration = Duration::from_secs(2);
/// The maximum number of blocks in a digest.
const MAX_REPORTED: usize = 64;
/// How long a new block is in each digest, also if there are more than that.
const BLOCK_REPORTED_FOR: Duration = Duration::from_secs(1);
/// The time that the nodes which rank before this one have to write a block to the key-value service, each.
const WRITE_TURN: Duration = Duration::from_millis(250);

/// `CrashState` is what a node knows of crashes of backend servers.
#[derive(Debug, Default)]
pub struct CrashState {
    /// The prompts whose answers servers broke off, until it is known whether those have ended.
    broken: HashMap<WorkerKey, Vec<CrashedRequest>>,
    /// The evidence, and the parts that are refused.
    pub watch: CrashWatch,
    /// The blocks that the key-value service may not have, and when this node writes them.
    pub unstored: BTreeMap<PartIds, Stamp>,
    /// When blocks that are new were learned of.
    recent: Vec<(PartIds, Stamp)>,
    /// The blocks for which this node is claiming a probe.
    claiming: HashSet<PartIds>,
}

/// The part of a digest about crashes of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// A number that is equal at nodes with the same blocks.
    pub mark: u64,
    /// Blocks that some node may not have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub blocks: Vec<Block>,
    /// Crashes that nodes have seen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Sound answers to prompts with parts that are suspected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<SoundReport>,
}

/// Notes that a backend server closed its connection before the end of an answer; the request was sent at the first time, and
/// the answer began at the second one, if it began.
pub fn note_broken_answer(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    placement: &Placement,
    (sent_at, began_at): (Stamp, Option<Stamp>),
) {
    let Some(prompt) = &req.call.prompt else { return };
    let now = clock::now();
    let began = began_at.map(|at| now.since(at));
    tracing::info!(
        event = Event::AnswerBroken.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        parts = %prompt.part_ids(),
        began_ms = began.map(|began| began.as_secs_f64() * 1_000.0)
    );
    // The connection to a node that carries the request tells nothing of the server.
    if placement.carrier.is_some() {
        return;
    }
    let parts: Vec<PartId> = prompt.common_parts().collect();
    if began.is_some_and(|began| BEGINNING <= began) {
        gateway.with(|state| state.crashes.watch.outcomes.note_sound(now, parts));
        return;
    }
    let age_ms = as_millis(now.since(sent_at));
    let begun_ms = began.map(as_millis);
    let request = xxh3_64(req.call.id.as_bytes());
    note_broken(gateway, placement.key, CrashedRequest { request, age_ms, begun_ms, parts });
}

/// Notes a request whose answer a backend server broke off.
pub fn note_broken(gateway: &Arc<Gateway>, key: WorkerKey, req: CrashedRequest) {
    let is_first = gateway.with(|state| {
        let broken = state.crashes.broken.entry(key).or_default();
        broken.push(req);
        broken.len() == 1
    });
    if is_first {
        tokio::spawn(check_server(Arc::clone(gateway), key));
    }
}

/// Notes that an answer of a backend server came to its end; `is_delimited` tells whether its end could be told from a
/// connection that was closed.
pub fn note_whole_answer(gateway: &Gateway, req: &IdentifiedRequest, is_delimited: bool) {
    let Some(prompt) = &req.call.prompt else { return };
    if !is_delimited {
        return;
    }
    let now = clock::now();
    gateway.with(|state| state.crashes.watch.outcomes.note_sound(now, prompt.common_parts()));
    if let Some(parts) = &req.probe {
        lift(gateway, parts, "probe");
    }
}

// A server that broke off one answer still accepts connections.
async fn check_server(gateway: Arc<Gateway>, key: WorkerKey) {
    sleep(COLLECTING_TIME).await;
    let address =
        gateway.with(|state| state.backends.get(key).map(|backend| backend.record.address));
    let listener = match address {
        Some(address) => listener_state(address).await,
        None => ListenerState::Unknown,
    };
    let now = clock::now();
    let crash = gateway.with(|state| {
        let requests = state.crashes.broken.remove(&key).unwrap_or_default();
        let backend = state.backends.get(key)?;
        // A server that leaves as announced may end with answers unfinished.
        if listener != ListenerState::Refusing || !backend.accepts_work() {
            return None;
        }
        let name = Arc::clone(&backend.name);
        let server = xxh3_64_with_seed(name.as_bytes(), backend.record.born.unwrap_or_default());
        state.crashes.watch.note_crash(now, gateway.incarnation, server, requests.clone());
        Some((name, requests))
    });
    let Some((name, requests)) = crash else { return };
    meters::server_crashed();
    let answers = requests.len();
    let mut parts: Vec<PartId> = requests.into_iter().flat_map(|req| req.parts).collect();
    parts.sort_unstable();
    parts.dedup();
    tracing::warn!(
        event = Event::ServerCrashed.number(),
        backend = &*name,
        answers,
        parts = %PartIds(parts)
    );
}

/// Returns whether a request may be sent to a backend server; `sends` is how often it was sent already.
pub fn may_send(gateway: &Gateway, req: &IdentifiedRequest, sends: u32) -> bool {
    let Some(prompt) = &req.call.prompt else { return true };
    let is_probe = req.probe.is_some() && sends == 0;
    is_probe || !gateway.with(|state| is_blocked(state, prompt.common_parts()))
}

/// Returns whether a request whose answer was broken off may be sent again: not if another server has crashed under a part of
/// its prompt that has never been answered.
pub fn may_repeat(gateway: &Gateway, req: &IdentifiedRequest) -> bool {
    let Some(prompt) = &req.call.prompt else { return true };
    gateway.with(|state| state.crashes.watch.may_repeat(clock::now(), prompt.common_parts()))
}

/// Returns whether requests with these parts are refused.
pub fn is_blocked(state: &State, parts: impl Iterator<Item = PartId>) -> bool {
    let blocks = &state.crashes.watch.blocks;
    if !blocks.is_any_in_force() {
        return false;
    }
    let parts: Vec<PartId> = parts.collect();
    blocks.matching(&parts).is_some()
}

/// Refuses a request that is known to crash its server; returns the parts of the block if the request is the one that may
/// show whether it still does.
pub async fn admit(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
) -> Result<Option<PartIds>, Failure> {
    let Some(prompt) = &req.call.prompt else { return Ok(None) };
    let now = clock::now();
    let claim = gateway.with(|state| {
        let CrashState { watch: CrashWatch { blocks, .. }, claiming, .. } = &mut state.crashes;
        if !blocks.is_any_in_force() {
            return Ok(None);
        }
        let parts: Vec<PartId> = prompt.common_parts().collect();
        let Some(ids) = blocks.matching(&parts) else { return Ok(None) };
        let claim = blocks.due_probe(now, ids).ok_or(Failure::PartBlocked)?;
        if claiming.insert(claim.parts.clone()) {
            Ok(Some(claim))
        } else {
            Err(Failure::PartBlocked)
        }
    });
    let claim = claim.inspect_err(|_| meters::part_refused())?;
    let Some(claim) = claim else { return Ok(None) };
    let parts = claim.parts.clone();
    let is_claimed = claim_probe(gateway, claim).await;
    gateway.with(|state| state.crashes.claiming.remove(&parts));
    if !is_claimed {
        meters::part_refused();
        return Err(Failure::PartBlocked);
    }
    tracing::warn!(event = Event::PartProbed.number(), id = req.call.id.as_str(), %parts);
    Ok(Some(parts))
}

/// Judges the evidence, once a gossip round.
pub fn plan_blocks(gateway: &Gateway, state: &mut State, now: Stamp) {
    state.crashes.recent.retain(|(_, at)| now.since(*at) < BLOCK_REPORTED_FOR);
    let unix_ms = as_millis(gateway.own_wall_clock());
    for block in state.crashes.watch.plan(now, gateway.incarnation, unix_ms) {
        note_changed(gateway, state, now, &block, "evidence");
    }
}

/// Lifts a block; returns whether it was in force.
pub fn lift(gateway: &Gateway, parts: &PartIds, source: &'static str) -> bool {
    let now = clock::now();
    gateway.with(|state| {
        let Some(block) = state.crashes.watch.lift(now, parts) else { return false };
        note_changed(gateway, state, now, &block, source);
        true
    })
}

/// Returns the blocks in force, for operators.
pub fn block_statuses(gateway: &Gateway) -> Vec<BlockStatus> {
    gateway.with(|state| {
        let blocks = state.crashes.watch.blocks.iter();
        let in_force = blocks.filter(|block| block.state() == BlockState::InForce);
        in_force.map(BlockStatus::from).collect()
    })
}

/// Applies a record of a block that another node or the key-value service has.
pub fn receive_block(gateway: &Gateway, state: &mut State, block: Block, source: &'static str) {
    let now = clock::now();
    let parts = block.parts.clone();
    let received = state.crashes.watch.receive(now, block);
    if received == Received::Nothing {
        return;
    }
    let Some(block) = state.crashes.watch.blocks.get(&parts).cloned() else { return };
    note_changed(gateway, state, now, &block, source);
}

fn note_changed(
    gateway: &Gateway,
    state: &mut State,
    now: Stamp,
    block: &Block,
    source: &'static str,
) {
    let event = match block.state() {
        BlockState::InForce => Event::PartBlocked,
        BlockState::Lifted => Event::PartUnblocked,
    };
    let Block { parts, generation, crashes, probes, .. } = block;
    tracing::warn!(event = event.number(), %parts, generation, crashes, probes, source);
    meters::parts_blocked(state.crashes.watch.blocks.count_in_force());
    state.crashes.recent.push((parts.clone(), now));
    if source != "key-value service" {
        queue_write(gateway, state, now, parts.clone());
    }
}

/// Plans the write of a block to the key-value service, after the nodes that rank before this one.
pub fn queue_write(gateway: &Gateway, state: &mut State, now: Stamp, parts: PartIds) {
    let name = xxh3_64(parts.to_string().as_bytes());
    let score = |node: u64| xxh3_64_with_seed(&name.to_le_bytes(), node);
    let own = score(node_hash(&gateway.settings.gateway.name));
    let live = state.members.iter().filter(|(_, member)| member.is_live(now));
    let before = live.filter(|(node, _)| own < score(node_hash(node))).count();
    let turn = WRITE_TURN * u32::try_from(before).unwrap_or(u32::MAX);
    state.crashes.unstored.insert(parts, now + turn);
    gateway.blocks_due.notify_one();
}

/// Returns what a digest tells of crashes.
pub fn crash_digest(state: &State, now: Stamp) -> CrashDigest {
    let CrashState { watch: CrashWatch { evidence, blocks, .. }, recent, .. } = &state.crashes;
    let mark = blocks.mark();
    let mut members = state.members.iter().filter(|(_, member)| member.is_live(now));
    let is_behind = members.any(|(_, member)| member.block_mark.is_some_and(|it| it != mark));
    let mut told: Vec<Block> = Vec::new();
    if is_behind {
        let count = blocks.iter().count().max(1);
        let rounds = usize::try_from(state.gossip_rounds).unwrap_or_default();
        let first = rounds.wrapping_mul(MAX_REPORTED) % count;
        told.extend(recent.iter().filter_map(|(parts, _)| blocks.get(parts)).cloned());
        told.extend(
            blocks.iter().skip(first).chain(blocks.iter().take(first)).take(MAX_REPORTED).cloned(),
        );
        told.sort_by(|one, other| one.parts.cmp(&other.parts));
        told.dedup();
    }
    let (crashes, sound) = (evidence.reports(now), evidence.sound_reports(now));
    CrashDigest { mark, blocks: told, crashes, sound }
}

/// Applies what the digest of another node tells of crashes.
pub fn receive_crashes(gateway: &Gateway, state: &mut State, now: Stamp, digest: CrashDigest) {
    for block in digest.blocks {
        receive_block(gateway, state, block, "node");
    }
    for report in digest.crashes {
        state.crashes.watch.evidence.receive(now, report);
    }
    for report in digest.sound {
        state.crashes.watch.evidence.receive_sound(now, report);
    }
}
