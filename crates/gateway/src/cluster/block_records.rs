//! Blocks of prompt parts in the key-value service, which keeps them when all nodes end.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_coord::{
    crashes::{Block, PartIds},
    decode_message,
};
use bulrushhall_core::Stamp;
use bulrushhall_external::{
    CallError,
    kv::{CasOutcome, Change, Version},
};
use bytes::Bytes;
use tokio::time::{sleep, timeout};

use crate::{
    clock,
    crashes::{queue_write, receive_block, write_turn},
    gateway::{Gateway, State},
};

/// The prefix of the keys of blocks; the rest of a key is the block's name.
pub const BLOCK_PREFIX: &str = "bulrushhall/blocks/";
/// The pause between two checks whether a write is due.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The time limit of a claim: the caller of the request waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// The source of these records in logs.
const SOURCE: &str = "key-value service";

/// Writes blocks that the key-value service lacks, forever.
pub async fn store_blocks(gateway: Arc<Gateway>) {
    loop {
        gateway.blocks_due.notified().await;
        while gateway.with(|state| !state.crashes.unstored.is_empty()) {
            let Some(block) = gateway.with(|state| due_write(state, clock::now())) else {
                sleep(WRITE_PAUSE).await;
                continue;
            };
            match write(&gateway, &block, |_| true).await {
                Ok(_) => {
                    gateway.with(|state| state.crashes.unstored.remove(&block.parts));
                }
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Claims a probe for this node by writing its record; returns whether no other node has it.
pub async fn claim_probe(gateway: &Arc<Gateway>, claim: Block) -> bool {
    let is_next =
        |stored: &Block| (stored.generation, stored.probes + 1) == (claim.generation, claim.probes);
    let claimed = timeout(CLAIM_TIMEOUT, write(gateway, &claim, is_next)).await;
    if !matches!(claimed, Ok(Ok(true))) {
        return false;
    }
    gateway.with(|state| receive_block(gateway, state, claim, SOURCE));
    true
}

/// Applies a change below the prefix of all nodes' keys, if it is of a block.
pub fn apply_block(gateway: &Gateway, change: &Change) {
    let Some(block) = read_block(change) else { return };
    gateway.with(|state| {
        let parts = block.parts.clone();
        receive_block(gateway, state, block.clone(), SOURCE);
        // Nodes may know of a later change than the service.
        if state.crashes.watch.blocks.get(&parts) == Some(&block) {
            state.crashes.unstored.remove(&parts);
        }
    });
}

/// Plans the writes of the blocks that a list of all keys lacks.
pub fn restore_blocks(gateway: &Gateway, changes: &[Change]) {
    let listed: BTreeSet<PartIds> =
        changes.iter().filter_map(read_block).map(|block| block.parts).collect();
    let now = clock::now();
    gateway.with(|state| {
        let known: Vec<Block> = state.crashes.watch.blocks.iter().cloned().collect();
        for block in known {
            if !listed.contains(&block.parts) {
                let turn = write_turn(gateway, state, now, &block);
                queue_write(gateway, state, now + turn, block.parts);
            }
        }
    });
}

fn read_block(change: &Change) -> Option<Block> {
    change.key.strip_prefix(BLOCK_PREFIX)?;
    let value = change.value.as_ref().filter(|_| !change.removed)?;
    decode(value)
}

fn decode(value: &Bytes) -> Option<Block> {
    decode_message(value).ok().filter(Block::is_valid)
}

fn due_write(state: &State, now: Stamp) -> Option<Block> {
    let (parts, _) = state.crashes.unstored.iter().find(|(_, due)| **due <= now)?;
    state.crashes.watch.blocks.get(parts).cloned()
}

// Writes a record unless the service has one that is as new, or one that `may_replace` forbids to replace; returns whether it
// was written.
async fn write(
    gateway: &Arc<Gateway>,
    block: &Block,
    may_replace: impl Fn(&Block) -> bool,
) -> Result<bool, CallError> {
    let kv = &gateway.platform.key_value;
    let key = format!("{BLOCK_PREFIX}{}", block.name());
    let encoded = rmp_serde::to_vec_named(block);
    let value = encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain record"));
    let mut found = kv.get(&key).await?;
    loop {
        if found.version != Version(0)
            && let Some(stored) = decode(&found.value)
            && (!block.is_after(&stored) || !may_replace(&stored))
        {
            gateway.with(|state| receive_block(gateway, state, stored, SOURCE));
            return Ok(false);
        }
        match kv.put_if(&key, found.version, value.clone(), None).await? {
            CasOutcome::Written(_) => return Ok(true),
            CasOutcome::Conflict(newer) => found = newer,
        }
    }
}
