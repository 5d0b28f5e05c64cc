//! Refusal of requests that are known to crash their servers.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{Block, BlockKind, CrashWatch, PartIds};
use bulrushhall_core::{Event, Stamp};
use tokio::time::sleep;

use crate::{
    clock,
    cluster::claim_probe,
    crashes::{CrashState, Fingerprint, ProbeClaim},
    gateway::{Gateway, State},
    meters,
    pipeline::{Failure, IdentifiedRequest},
};

/// How long the check of a server that broke off an answer takes, with some time to spare.
const CHECK_TIME: Duration = Duration::from_millis(80);

/// Returns why a request may not be sent to a backend server, if so; `sends` is how often it was sent already.
pub fn send_refusal(gateway: &Gateway, req: &IdentifiedRequest, sends: u32) -> Option<Failure> {
    let is_probe = req.probe.is_some() && sends == 0;
    if is_probe {
        return None;
    }
    gateway.with(|state| block_of(state, &req.fingerprint).map(|(_, failure)| failure))
}

/// Returns whether a request may be sent again whose answer a server broke off; `breaks` is how many servers have done so in this
/// attempt. It may not if another server has crashed under it, or under a part of its prompt, that has never been answered.
pub async fn may_repeat(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    server: u64,
    breaks: u32,
) -> bool {
    // Whether the server before this one has crashed may still be being checked.
    if 1 < breaks {
        sleep(CHECK_TIME).await;
    }
    let now = clock::now();
    gateway.with(|state| state.crashes.watch.may_repeat(now, server, req.fingerprint.ids()))
}

/// Returns whether a request is refused because servers crash under it, or under a part of its prompt.
pub fn is_blocked(state: &State, fingerprint: &Fingerprint) -> bool {
    block_of(state, fingerprint).is_some()
}

// Returns the ids of the block that a request is refused by, and the failure that tells its caller so.
fn block_of(state: &State, fingerprint: &Fingerprint) -> Option<(PartIds, Failure)> {
    let blocks = &state.crashes.watch.blocks;
    let ids = PartIds(blocks.matching(fingerprint.ids())?.to_vec());
    let failure = match blocks.get(&ids)?.kind {
        BlockKind::Parts => Failure::PartBlocked,
        BlockKind::Request => Failure::RequestBlocked,
    };
    Some((ids, failure))
}

/// How a request that a block refuses may be sent after all.
enum Probe {
    /// This node has claimed a probe that it did not send.
    Claimed(Block),
    /// A probe is due, and this node claims it by a record.
    Due(Block),
}

/// Refuses a request that is known to crash its server, unless it is the one that may show whether it still does.
pub async fn admit(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
) -> Result<Option<Arc<ProbeClaim>>, Failure> {
    let now = clock::now();
    let probe = gateway.with(|state| {
        let Some((ids, failure)) = block_of(state, &req.fingerprint) else { return Ok(None) };
        let probe = next_probe(&mut state.crashes, now, (ids, &req.fingerprint));
        let probe = probe.ok_or(failure)?;
        Ok(Some((probe, failure)))
    });
    let probe = probe.inspect_err(|_| meters::part_refused())?;
    let Some((probe, failure)) = probe else { return Ok(None) };
    let claim = match probe {
        Probe::Claimed(claim) => Arc::new(ProbeClaim::new(gateway, claim)),
        // The claim goes on if the caller leaves.
        Probe::Due(claim) => {
            let claiming = tokio::spawn(claim_for(Arc::clone(gateway), claim));
            let claimed = claiming.await.ok().flatten();
            claimed.ok_or(failure).inspect_err(|_| meters::part_refused())?
        }
    };
    let (id, parts) = (req.call.id.as_str(), claim.parts());
    tracing::warn!(event = Event::PartProbed.number(), id, %parts);
    Ok(Some(claim))
}

fn next_probe(
    crashes: &mut CrashState,
    now: Stamp,
    (ids, fingerprint): (PartIds, &Fingerprint),
) -> Option<Probe> {
    let CrashState { watch: CrashWatch { blocks, .. }, claiming, unused_claims, .. } = crashes;
    let claimed = unused_claims.remove(&ids);
    if let Some(claim) = claimed.filter(|claim| blocks.get(&ids) == Some(claim)) {
        return Some(Probe::Claimed(claim));
    }
    let due = blocks.due_probe_for(now, fingerprint.ids())?;
    claiming.insert(ids).then_some(Probe::Due(due))
}

async fn claim_for(gateway: Arc<Gateway>, claim: Block) -> Option<Arc<ProbeClaim>> {
    let is_claimed = claim_probe(&gateway, claim.clone()).await;
    gateway.with(|state| state.crashes.claiming.remove(&claim.parts));
    is_claimed.then(|| Arc::new(ProbeClaim::new(&gateway, claim)))
}
