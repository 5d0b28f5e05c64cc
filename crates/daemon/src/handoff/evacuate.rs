//! Moving answers off engines whose VMs are taken back.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bulrushhall_coord::{Evacuation, EvacuationOptions, Movable};
use bulrushhall_core::{RequestId, VmName};
use bulrushhall_policy::WorkerKey;
use tokio::time::{Instant, sleep};

use crate::{
    answers::{Answer, Evacuate},
    context::Context,
};

/// The pause between two looks at the VMs that leave.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two looks at an answer that is being moved.
const MOVE_PAUSE: Duration = Duration::from_millis(5);
/// The time that a notice is taken to leave when it is first heard of.
const NOTICE: Duration = Duration::from_secs(4);

/// Moves answers off every engine whose VM is known to leave.
pub async fn follow_notices(cx: Arc<Context>) {
    let mut done: BTreeSet<VmName> = BTreeSet::new();
    loop {
        sleep(LOOK_PAUSE).await;
        let leaving = cx.leaving_vms.load_full();
        for vm in leaving.iter().filter(|vm| !done.contains(*vm)) {
            for (worker, _) in cx.backends.on(vm) {
                tokio::spawn(evacuate(Arc::clone(&cx), worker, NOTICE));
            }
        }
        done = leaving.as_ref().clone();
    }
}

/// Moves what runs on an engine elsewhere within the time `left`.
pub async fn evacuate(cx: Arc<Context>, worker: WorkerKey, left: Duration) {
    let options = EvacuationOptions::default();
    let until = Instant::now() + left.saturating_sub(options.margin);
    let answers = on(&cx, worker).iter().map(|answer| movable(answer)).collect();
    let plan = Evacuation::plan(left, answers, &options);
    for id in plan.moved {
        move_one(&cx, worker, id, until).await;
    }
    tokio::time::sleep_until(until).await;
    for answer in on(&cx, worker) {
        answer.evacuate(Evacuate::Resume);
    }
}

async fn move_one(cx: &Context, worker: WorkerKey, id: RequestId, until: Instant) {
    let Some(answer) = cx.answers.get(id) else { return };
    if answer.place() != Some(worker) {
        return;
    }
    answer.evacuate(Evacuate::Move);
    while answer.place() == Some(worker) && Instant::now() < until {
        sleep(MOVE_PAUSE).await;
    }
}

fn on(cx: &Context, worker: WorkerKey) -> Vec<Arc<Answer>> {
    let mut answers = cx.answers.open();
    answers.retain(|answer| answer.place() == Some(worker));
    answers
}

fn movable(answer: &Answer) -> Movable {
    let written = u32::try_from(answer.len()).unwrap_or(u32::MAX);
    let tokens = answer.prompt_tokens().saturating_add(written);
    Movable { id: answer.id(), tokens, cached_elsewhere: 0 }
}
