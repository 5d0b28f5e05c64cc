//! Blocks of prompt parts: put in force by evidence, lifted by operators, learned of from others.

use std::time::Duration;

use bulrushhall_coord::crashes::{
    Block, BlockKind, BlockState, BlockStatus, PartIds, PartTally, Received, SuspectedPart,
};
use bulrushhall_core::{Event, Stamp};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    brittle::node_hash,
    clock,
    cluster::as_millis,
    crashes::note_removed_servers,
    gateway::{Gateway, State},
    meters,
};

/// How long a new block is in each digest, also if there are more than a digest may hold.
const BLOCK_REPORTED_FOR: Duration = Duration::from_secs(1);
/// The time that the nodes which rank before this one have to write a block to the key-value service, each.
const WRITE_TURN: Duration = Duration::from_millis(250);

/// Judges the evidence, once a gossip round.
pub fn plan_blocks(gateway: &Gateway, state: &mut State, now: Stamp) {
    state.crashes.recent.retain(|(_, at)| now.since(*at) < BLOCK_REPORTED_FOR);
    note_removed_servers(gateway, state, now);
    let unix_ms = as_millis(gateway.own_wall_clock());
    for block in state.crashes.watch.plan(now, gateway.incarnation, unix_ms) {
        note_changed(gateway, state, now, &block, "evidence");
    }
    for suspected in state.crashes.watch.newly_suspected(now) {
        log_suspected(suspected);
    }
}

fn log_suspected(SuspectedPart { part, tally, last_sound }: SuspectedPart) {
    let PartTally { crashes, all_servers, closest, closest_or_unbegun, answered, .. } = tally;
    let (sound_node, sound_age) = last_sound.unzip();
    tracing::info!(
        event = Event::PartSuspected.number(),
        %part,
        servers = all_servers,
        sound_node = sound_node.map(|node| node.0),
        sound_age_ms = sound_age.map(as_millis),
        moments = crashes,
        closest,
        closest_or_unbegun,
        is_answered = tally.is_known_sound,
        answered,
        is_other_answered = tally.is_other_sound
    );
}

/// Lifts a block that an operator does not want; returns whether it was in force.
pub fn lift(gateway: &Gateway, parts: &PartIds) -> bool {
    lift_because(gateway, parts, "operator", None)
}

/// Lifts a block that an answer speaks against, which began at a time.
pub fn lift_answered(
    gateway: &Gateway,
    parts: &PartIds,
    source: &'static str,
    begun_at: Stamp,
) -> bool {
    lift_because(gateway, parts, source, Some(begun_at))
}

fn lift_because(
    gateway: &Gateway,
    parts: &PartIds,
    source: &'static str,
    begun_at: Option<Stamp>,
) -> bool {
    let now = clock::now();
    gateway.with(|state| {
        let blocked_at = state.crashes.watch.blocks.learned_at(parts);
        let Some(block) = state.crashes.watch.lift(now, parts) else { return false };
        let age_ms = |at: Option<Stamp>| at.map(|at| as_millis(now.since(at)));
        tracing::warn!(
            event = Event::PartUnblocked.number(),
            %parts,
            kind = block.kind.as_str(),
            source,
            blocked_ms = age_ms(blocked_at),
            answer_age_ms = age_ms(begun_at)
        );
        queue_changed(gateway, state, now, &block, source);
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
    let Block { parts, crashes, probes, .. } = block;
    let (kind, confidence) = (block.kind.as_str(), block.confidence.as_str());
    match block.state() {
        BlockState::InForce => {
            tracing::warn!(event = Event::PartBlocked.number(), %parts, kind, confidence, crashes, probes, source);
        }
        BlockState::Lifted => {
            tracing::warn!(event = Event::PartUnblocked.number(), %parts, kind, source);
        }
    }
    queue_changed(gateway, state, now, block, source);
}

// Lets other nodes and the key-value service know of a changed record.
fn queue_changed(
    gateway: &Gateway,
    state: &mut State,
    now: Stamp,
    block: &Block,
    source: &'static str,
) {
    let parts = &block.parts;
    meters::parts_blocked(state.crashes.watch.blocks.count_in_force());
    state.crashes.recent.push((parts.clone(), now));
    if source != "key-value service" {
        let turn = write_turn(gateway, state, now, block);
        queue_write(gateway, state, now + turn, parts.clone());
    }
}

/// Plans the write of a block to the key-value service.
pub fn queue_write(gateway: &Gateway, state: &mut State, due: Stamp, parts: PartIds) {
    state.crashes.unstored.insert(parts, due);
    gateway.blocks_due.notify_one();
}

/// Returns the time that a node leaves to those that rank before it to write a block. One of a request is written at once: all
/// nodes learn of it by their watches, while its caller sends it again.
pub fn write_turn(gateway: &Gateway, state: &State, now: Stamp, block: &Block) -> Duration {
    if block.kind == BlockKind::Request {
        return Duration::ZERO;
    }
    let name = xxh3_64(block.name().as_bytes());
    let score = |node: u64| xxh3_64_with_seed(&name.to_le_bytes(), node);
    let own = score(node_hash(&gateway.settings.gateway.name));
    let live = state.members.iter().filter(|(_, member)| member.is_live(now));
    let before = live.filter(|(node, _)| own < score(node_hash(node))).count();
    WRITE_TURN * u32::try_from(before).unwrap_or(u32::MAX)
}
