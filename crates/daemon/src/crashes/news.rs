//! The message by which nodes tell each other of crashes.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushhall_coord::crashes::{
    Block, BlockState, CrashReport, CrashWatch, Received, SoundReport,
};
use bulrushhall_core::Event;
use serde::{Deserialize, Serialize};

use crate::{
    context::Context,
    peers::{PeerMessage, PeerPort},
};

/// `CrashNews` are crashes that a node has seen, and what it refuses; the reply has the same form.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CrashNews {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// The whole answers to requests that are suspected.
    pub sound: Vec<SoundReport>,
    /// The blocks.
    pub blocks: Vec<Block>,
}

impl PeerMessage for CrashNews {
    const PATH: &'static str = "/crashes";
    type Reply = CrashNews;
}

/// Registers the handler of these messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, news: CrashNews| async move {
        receive(&cx, news);
        let now = cx.clock.now();
        cx.with_crashes(|watch| CrashNews {
            crashes: Vec::new(),
            sound: watch.evidence.sound_reports(now),
            blocks: watch.blocks.iter().cloned().collect(),
        })
    });
}

/// Tells all other nodes of crashes, and of blocks that have changed.
pub(super) fn send(cx: &Arc<Context>, news: CrashNews) {
    for member in cx.members.current().iter() {
        let (cx, member, news) = (Arc::clone(cx), member.clone(), news.clone());
        tokio::spawn(async move {
            let sent = cx.peers.send(&cx, member.peers, Some(member.incarnation), news).await;
            if let Ok(reply) = sent {
                receive(&cx, reply);
            }
        });
    }
}

fn receive(cx: &Context, news: CrashNews) {
    let now = cx.clock.now();
    let changed = cx.with_crashes(|watch| {
        for report in news.crashes {
            watch.evidence.receive(now, report);
        }
        for report in news.sound {
            watch.evidence.receive_sound(now, report);
        }
        let mut changed = Vec::new();
        for block in news.blocks {
            if watch.receive(now, block.clone()) != Received::Nothing {
                changed.push(block);
            }
        }
        changed.extend(judge(cx, watch));
        changed
    });
    changed.iter().for_each(log);
}

/// Judges the evidence; returns the blocks that have changed.
pub(super) fn judge(cx: &Context, watch: &mut CrashWatch) -> Vec<Block> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    watch.plan(cx.clock.now(), cx.incarnation, unix_ms)
}

/// Logs that a block has changed.
pub(super) fn log(block: &Block) {
    let Block { parts, kind, confidence, crashes, probes, .. } = block;
    let (kind, confidence, source) = (kind.as_str(), confidence.as_str(), "own interface");
    match block.state() {
        BlockState::InForce => {
            tracing::warn!(event = Event::PartBlocked.number(), %parts, kind, confidence, crashes, probes, source);
        }
        BlockState::Lifted => {
            tracing::warn!(event = Event::PartUnblocked.number(), %parts, kind, source);
        }
    }
}
