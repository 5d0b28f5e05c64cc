//! What nodes tell each other of crashes, in their digests.

use std::time::Duration;

use bulrushhall_coord::crashes::{Block, CrashReport, CrashWatch, CrashedServer, SoundReport};
use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

use crate::{
    crashes::{CrashState, note_crash, receive_block},
    gateway::{Gateway, State},
};

/// The maximum number of blocks in a digest, besides those that are new.
const MAX_REPORTED: usize = 64;

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
        let crashed = CrashedServer {
            server: report.server,
            end: report.end,
            at: now - Duration::from_millis(report.age_ms),
        };
        // This node may have sent the server prompts that nobody waits for.
        if state.crashes.watch.evidence.receive(now, report) {
            note_crash(gateway, state, crashed, Vec::new());
        }
    }
    for report in digest.sound {
        state.crashes.watch.evidence.receive_sound(now, report);
    }
}
