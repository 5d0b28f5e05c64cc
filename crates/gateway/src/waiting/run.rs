//! The task that starts and refuses queued requests.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::FactValue;
use bulrushhall_core::{Event, ServiceName, Stamp};
use bulrushhall_policy::waiting::QueuedWork;
use tokio::time::sleep;

use crate::{
    clock,
    gateway::{Gateway, Phase, State},
    meters,
    table::EngineSizes,
    waiting::{
        QUEUED_FACT, ServiceQueue, Turn, exchange_interval, room::EngineRoom,
        shortage::ShortageChange,
    },
};

/// The time between two rounds while requests are queued: below the shortest time that an engine needs for a prompt.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two reports of the queued work to other nodes: that between two digests.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Starts and refuses queued requests for as long as the node runs.
pub async fn run_waiting(gateway: Arc<Gateway>) {
    if !gateway.settings.waiting.enabled {
        return;
    }
    loop {
        let has_queued = run_round(&gateway);
        let pause = if has_queued { ROUND_INTERVAL } else { REPORT_INTERVAL };
        tokio::select! {
            () = sleep(pause) => {}
            () = gateway.waiting_due.notified() => {}
        }
    }
}

// Returns whether requests are queued.
fn run_round(gateway: &Gateway) -> bool {
    let now = clock::now();
    let Some(table) = gateway.table.load_full() else { return false };
    let engines = |service: &ServiceName| table.services.get(service)?.engine;
    gateway.with(|state| {
        let is_due = state.waiting.reported_at.is_none_or(|at| REPORT_INTERVAL <= now.since(at));
        if is_due {
            state.waiting.reported_at = Some(now);
            let with_engines = table.services.iter().filter(|(_, entry)| entry.engine.is_some());
            for (service, _) in with_engines {
                exchange_work(gateway, state, now, service);
            }
            let (count, work) = state.waiting.totals();
            meters::waiting(count, &work);
        }
        for service in state.waiting.services() {
            run_queue(gateway, state, now, &service, engines(&service));
        }
        state.waiting.has_queued()
    })
}

// Reports the queued work to the other nodes and applies theirs.
//
// A node also reports that it has nothing queued, so that another one can tell it from a node of an earlier version, for which
// it has to leave a share.
fn exchange_work(gateway: &Gateway, state: &mut State, now: Stamp, service: &ServiceName) {
    let own = state.waiting.queued(service).to_numbers();
    let subject = service.as_str();
    let value = FactValue::new(&own).ok();
    if let Some(value) =
        value.filter(|value| state.facts.own(QUEUED_FACT.id, subject) != Some(*value))
    {
        // Names of services are shorter than subjects may be.
        let _ = state.facts.set(now, QUEUED_FACT.id, subject, value);
    }
    let others = state.facts.merged_others(now, QUEUED_FACT.id, subject);
    let queue = state.waiting.queue(service, &gateway.settings.waiting.weights.0);
    let mut numbers = [0.0; QueuedWork::NUMBERS];
    for (at, number) in numbers.iter_mut().enumerate() {
        *number = others.map_or(0.0, |others| others.value.number(at));
    }
    queue.others = QueuedWork::from_numbers(&numbers);
    queue.others_age = others.map(|others| others.age).unwrap_or_default();
}

fn run_queue(
    gateway: &Gateway,
    state: &mut State,
    now: Stamp,
    service: &ServiceName,
    sizes: Option<EngineSizes>,
) {
    let weights = &gateway.settings.waiting.weights.0;
    if state.waiting.queue(service, weights).queue.is_empty() {
        let change = state.waiting.queue(service, weights).shortage.note_empty(now);
        if let Some(ShortageChange::Ended(lasted)) = change {
            tracing::info!(
                event = Event::EnginesSufficient.number(),
                service = service.as_str(),
                lasted_ms = lasted.as_secs_f64() * 1_000.0
            );
        }
        return;
    }
    let Some(sizes) = sizes else {
        state.waiting.queue(service, weights).clear(now, Turn::ServiceGone);
        return;
    };
    if gateway.phase() == Phase::Draining {
        state.waiting.queue(service, weights).clear(now, Turn::Leaving);
        return;
    }
    let exchange = exchange_interval(state.relays.role);
    if state.waiting.queue(service, weights).credit.is_due(now, exchange) {
        grant(gateway, state, now, (service, sizes));
    }
    let queue = state.waiting.queue(service, weights);
    queue.expire(now, &mut rand::rng());
    queue.start(now);
}

// Grants the node's share of the free capacity.
fn grant(
    gateway: &Gateway,
    state: &mut State,
    now: Stamp,
    (service, sizes): (&ServiceName, EngineSizes),
) {
    let exchange = exchange_interval(state.relays.role);
    // A node that died takes no part, although its record remains for a while.
    let nodes = state.members.serving_members(now).count() + 1;
    let reporting = state.facts.merged(now, QUEUED_FACT.id, service.as_str());
    let reporting = reporting.map_or(1, |merged| merged.nodes.max(1) as usize);
    let own = state.waiting.queued(service).folded();
    let count = state.waiting.get_mut(service).map_or(0, |queue| queue.queue.len()).max(1);
    let mean_work = own.total() / count as f64;
    let room = EngineRoom::of(state, now, service, sizes, (exchange, mean_work));
    let queue = state.waiting.queue(service, &gateway.settings.waiting.weights.0);
    // A node that does not report is assumed to have as much queued as this one.
    let silent = own.of_nodes(nodes.saturating_sub(reporting));
    let all = own.plus(queue.others).plus(silent);
    // Requests that arrive before the next grant use what no queued work needs: without it each of them would be queued until
    // then, and the shortage would never end.
    let unclaimed = all.unclaimed(room.free) / nodes as f64;
    queue.credit.grant(now, own.share_of(room.free, &all) + unclaimed);
    queue.queue.set_outlook(room.per_second / nodes as f64, exchange);
    note_shortage(queue, now, service, room);
}

fn note_shortage(queue: &mut ServiceQueue, now: Stamp, service: &ServiceName, room: EngineRoom) {
    if queue.shortage.note_queued(now) != Some(ShortageChange::Begun) {
        return;
    }
    tracing::warn!(
        event = Event::EnginesShort.number(),
        service = service.as_str(),
        queued = queue.queue.len(),
        tokens = queue.queue.queued().total(),
        others_tokens = queue.others.total(),
        others_age_ms = queue.others_age.as_secs_f64() * 1_000.0,
        engines = room.engines,
        free_tokens = room.free
    );
}
