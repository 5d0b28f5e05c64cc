//! What a leaving node does with the requests that it owns.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{
    answers::AnswerEnd,
    context::Context,
    handoff::{HandOver, SetMembers, Sweep, Tick},
};

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(25);
/// The pause between two ticks: tokens that come within it share a message.
const TICK_PAUSE: Duration = Duration::from_millis(4);
/// The pause between two looks at every request.
const SWEEP_PAUSE: Duration = Duration::from_millis(100);
/// The last part of the drain time, which is left for handing over what still runs.
const HANDING_SHARE: u32 = 4;
/// The longest that the last part is.
const HANDING_MAX: Duration = Duration::from_secs(4);

/// Hands over what a leaving node owns: what waits at once, what runs when its time is over.
pub async fn drain(cx: Arc<Context>) {
    while !cx.is_leaving() {
        sleep(PAUSE).await;
    }
    let drain: Duration = cx.settings.limits.drain.into();
    let over = Instant::now() + drain - (drain / HANDING_SHARE).min(HANDING_MAX);
    loop {
        // A VM that is taken back is gone in seconds, long before the time of a planned stop.
        let all = cx.is_reclaimed() || over <= Instant::now();
        let mut ids = Vec::new();
        for answer in cx.answers.open() {
            if all || !answer.is_started() {
                ids.push(answer.id());
            }
        }
        if !ids.is_empty() {
            let _ = cx.ownership.send(HandOver(ids)).await;
        }
        sleep(PAUSE).await;
    }
}

/// Ends the answers that are still open here; their readers are told where to go on.
pub fn end_open_answers(cx: &Context) {
    let mut others =
        cx.members.current().iter().filter(|it| !it.leaving).cloned().collect::<Vec<_>>();
    others.sort_by_key(|member| member.zone != cx.settings.node.zone);
    let Some(next) = others.first() else { return };
    for answer in cx.answers.open() {
        answer.end(AnswerEnd::Moved(next.callers));
    }
}

/// Lets the time of ownership pass and tells it of the members.
pub async fn run_timers(cx: Arc<Context>) {
    let mut members = cx.members.subscribe();
    let mut swept = Instant::now();
    let _ = cx.ownership.send(SetMembers(cx.members.current())).await;
    loop {
        sleep(TICK_PAUSE).await;
        if members.has_changed().unwrap_or(false) {
            members.borrow_and_update();
            let _ = cx.ownership.send(SetMembers(cx.members.current())).await;
        }
        let _ = cx.ownership.send(Tick).await;
        if SWEEP_PAUSE <= swept.elapsed() {
            swept = Instant::now();
            let _ = cx.ownership.send(Sweep).await;
        }
    }
}
