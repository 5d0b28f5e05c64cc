//! Refusal of requests under which backend servers crash.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{Block, PartId};
use bulrushhall_core::{Event, Incarnation, Stamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backends::Backend,
    callers::{ApiCode, ApiError},
    context::Context,
    crashes::{CrashNews, news::send, observe::server_hash},
};

/// The time that each node which ranks before another one has to probe a blocked request first.
const PROBE_TURN: Duration = Duration::from_millis(500);

/// A `Refusal` is the answer to a request under which backend servers crash.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// When the request may be tried again to see whether they still do; none if it will not be.
    pub probe_at: Option<Stamp>,
    /// The error for its caller.
    pub error: ApiError,
}

/// Refuses a request under which backend servers crash, unless it is the one that shows whether they still do.
pub fn refusal(cx: &Arc<Context>, digest: PartId) -> Option<Refusal> {
    let now = cx.clock.now();
    let (probe_at, claim) = cx.with_crashes(|watch| {
        watch.blocks.matching(&[digest])?;
        let turn = probe_turn(cx, digest);
        let probe_at = watch.blocks.probe_at(&[digest]).map(|at| at + turn);
        let claim: Option<Block> =
            watch.blocks.due_probe(now, &[digest]).filter(|_| probe_at.is_some_and(|at| at <= now));
        if let Some(claim) = &claim {
            watch.receive(now, claim.clone());
        }
        Some((probe_at, claim))
    })?;
    if let Some(claim) = claim {
        tracing::warn!(event = Event::PartProbed.number(), id = "", parts = %claim.parts);
        send(cx, CrashNews { blocks: vec![claim], ..CrashNews::default() });
        return None;
    }
    let error =
        ApiError::not_run(ApiCode::CrashesServers, "backend servers crash under this request");
    let error = match probe_at {
        Some(at) => error.retry_after(at.since(now)),
        None => error,
    };
    Some(Refusal { probe_at, error })
}

/// Returns whether a call that failed at a server may be sent to another one: not if another one has crashed under it.
pub fn may_repeat(cx: &Context, digest: PartId, failed: &Backend) -> bool {
    let (now, server) = (cx.clock.now(), server_hash(failed));
    cx.with_crashes(|watch| watch.may_repeat(now, server, &[digest]))
}

fn probe_turn(cx: &Context, digest: PartId) -> Duration {
    let score = |node: Incarnation| xxh3_64_with_seed(&digest.0.to_le_bytes(), node.0);
    let own = score(cx.incarnation);
    let members = cx.members.current();
    let before = members.iter().filter(|member| own < score(member.incarnation)).count();
    PROBE_TURN * u32::try_from(before).unwrap_or(u32::MAX)
}
