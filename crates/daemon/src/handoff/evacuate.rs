//! Evacuation of answers from engines whose VMs are reclaimed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_coord::{Evacuation, EvacuationOptions, Movable};
use bulrushhall_core::{RequestId, VmName};
use bulrushhall_policy::WorkerKey;
use tokio::time::{Instant, sleep};

use crate::{
    answers::{Answer, EvacuationState},
    context::Context,
};

/// The pause between two checks for leaving VMs.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two checks of an answer that is being moved.
const MOVE_PAUSE: Duration = Duration::from_millis(5);
/// The time that is assumed to remain before the VM is reclaimed when a notice is first seen.
const ASSUMED_NOTICE: Duration = Duration::from_secs(4);

/// Evacuates every engine whose VM is known to be leaving.
pub async fn follow_notices(cx: Arc<Context>) {
    let mut handled: BTreeSet<VmName> = BTreeSet::new();
    loop {
        sleep(POLL_PAUSE).await;
        let leaving = cx.leaving_vms.load_full();
        for vm in leaving.iter().filter(|vm| !handled.contains(*vm)) {
            for (worker, _) in cx.backends.on(vm) {
                tokio::spawn(evacuate(Arc::clone(&cx), worker, ASSUMED_NOTICE));
            }
        }
        handled = leaving.as_ref().clone();
    }
}

/// Moves the answers that run on an engine to other engines within the time `left`.
pub async fn evacuate(cx: Arc<Context>, worker: WorkerKey, left: Duration) {
    let options = EvacuationOptions::default();
    let until = Instant::now() + left.saturating_sub(options.margin);
    let answers = answers_on(&cx, worker).iter().map(|answer| movable(answer)).collect();
    let plan = Evacuation::plan(left, answers, &options);
    for id in plan.moved {
        move_one(&cx, worker, id, until).await;
    }
    tokio::time::sleep_until(until).await;
    for answer in answers_on(&cx, worker) {
        answer.evacuate(EvacuationState::Resume);
    }
}

async fn move_one(cx: &Context, worker: WorkerKey, id: RequestId, until: Instant) {
    let Some(answer) = cx.answers.get(id) else { return };
    if answer.worker() != Some(worker) {
        return;
    }
    answer.evacuate(EvacuationState::Move);
    while answer.worker() == Some(worker) && Instant::now() < until {
        sleep(MOVE_PAUSE).await;
    }
}

fn answers_on(cx: &Context, worker: WorkerKey) -> Vec<Arc<Answer>> {
    let mut answers = cx.answers.open();
    answers.retain(|answer| answer.worker() == Some(worker));
    answers
}

fn movable(answer: &Answer) -> Movable {
    let written = u32::try_from(answer.len()).unwrap_or(u32::MAX);
    let tokens = answer.prompt_tokens().saturating_add(written);
    Movable { id: answer.id(), tokens, cached_elsewhere: 0 }
}
