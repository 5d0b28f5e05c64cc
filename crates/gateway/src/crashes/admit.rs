//! Refusal of requests that are known to crash their servers.

use std::sync::Arc;

use bulrushhall_coord::crashes::{Block, CrashWatch, PartId, PartIds};
use bulrushhall_core::Event;

use crate::{
    clock,
    cluster::claim_probe,
    crashes::CrashState,
    gateway::{Gateway, State},
    meters,
    pipeline::{Failure, IdentifiedRequest},
};

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
    // The claim goes on if the caller leaves.
    let claiming = tokio::spawn(claim_for(Arc::clone(gateway), claim));
    if !claiming.await.unwrap_or(false) {
        meters::part_refused();
        return Err(Failure::PartBlocked);
    }
    tracing::warn!(event = Event::PartProbed.number(), id = req.call.id.as_str(), %parts);
    Ok(Some(parts))
}

async fn claim_for(gateway: Arc<Gateway>, claim: Block) -> bool {
    let parts = claim.parts.clone();
    let is_claimed = claim_probe(&gateway, claim).await;
    gateway.with(|state| state.crashes.claiming.remove(&parts));
    is_claimed
}
