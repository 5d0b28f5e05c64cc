//! Draining of a leaving node, and the timers of the ownership actor.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    answers::AnswerEnd,
    context::Context,
    handoff::{HandOver, SetMembers, Sweep, Tick},
};

/// The pause between two checks while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(25);
/// The pause between two ticks; tokens produced within it are sent in one message.
const TICK_PAUSE: Duration = Duration::from_millis(4);
/// The pause between two sweeps over all requests.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);
/// The drain time divided by this is its last part, in which running requests are handed over.
const HANDOVER_DIVISOR: u32 = 4;
/// The maximum length of that last part.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(4);

/// Hands over the requests of a leaving node: queued ones at once, running ones near the end of the
/// drain time.
pub async fn drain(cx: Arc<Context>) {
    while !cx.is_leaving() {
        sleep(DRAIN_PAUSE).await;
    }
    let drain: Duration = cx.settings.limits.drain.into();
    let handover_at = Instant::now() + drain - (drain / HANDOVER_DIVISOR).min(MAX_HANDOVER_TIME);
    loop {
        // A reclaimed VM stops within seconds, long before the drain time of a planned stop ends.
        let all = cx.is_reclaimed() || handover_at <= Instant::now();
        let mut ids = Vec::new();
        for answer in cx.answers.open() {
            if all || !answer.is_started() {
                ids.push(answer.id());
            }
        }
        if !ids.is_empty() {
            let _ = cx.ownership.send(HandOver(ids)).await;
        }
        sleep(DRAIN_PAUSE).await;
    }
}

/// Ends the answers that are still open at this node; their readers receive the address of another
/// node at which to continue.
pub fn end_open_answers(cx: &Context) {
    let mut candidates =
        cx.members.current().iter().filter(|it| !it.leaving).cloned().collect::<Vec<_>>();
    candidates.sort_by_key(|member| member.zone != cx.settings.node.zone);
    let Some(target) = candidates.first() else { return };
    for answer in cx.answers.open() {
        answer.end(AnswerEnd::Moved(target.callers));
    }
}

/// Sends ticks, sweeps and membership changes to the ownership actor.
pub async fn run_timers(cx: Arc<Context>) {
    let mut members = cx.members.subscribe();
    let mut last_sweep = Instant::now();
    let _ = cx.ownership.send(SetMembers(cx.members.current())).await;
    loop {
        sleep(TICK_PAUSE).await;
        if members.has_changed().unwrap_or(false) {
            members.borrow_and_update();
            let _ = cx.ownership.send(SetMembers(cx.members.current())).await;
        }
        let _ = cx.ownership.send(Tick).await;
        if SWEEP_PAUSE <= last_sweep.elapsed() {
            last_sweep = Instant::now();
            let _ = cx.ownership.send(Sweep).await;
        }
    }
}
