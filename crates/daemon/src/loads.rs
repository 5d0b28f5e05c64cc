//! The task that polls the engines' load and prefix caches.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushhall_core::{ServiceName, config::ServiceType};
use bulrushhall_external::{
    Engine,
    engine::{CacheEvent, EngineLoad},
};
use bulrushhall_policy::{LoadReport, WorkerKey};
use tokio::task::JoinSet;

use crate::{
    backends::BackendClient,
    context::Context,
    dispatcher::{CacheChanges, Report, SetNodes},
};

/// The pause between two rounds of reports.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// The assumed age of an engine's report when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// The timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The replies of one engine.
struct EngineReport {
    service: ServiceName,
    key: WorkerKey,
    load: Option<EngineLoad>,
    events: Vec<CacheEvent>,
}

/// Polls the engines as long as the node runs.
pub async fn follow(cx: Arc<Context>) {
    let mut next_events: BTreeMap<WorkerKey, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(REPORT_PAUSE).await;
        let nodes = cx.members.current().iter().filter(|member| !member.leaving).count() + 1;
        let _ = cx.dispatcher.send(SetNodes(nodes)).await;
        let mut round = poll_all(&cx, &next_events);
        let mut received = BTreeMap::new();
        while let Some(report) = round.join_next().await {
            let Ok(report) = report else { continue };
            let after = next_events.get(&report.key).copied().unwrap_or(0);
            received.insert(report.key, forward(&cx, report, after).await);
        }
        next_events = received;
    }
}

fn poll_all(cx: &Context, next_events: &BTreeMap<WorkerKey, u64>) -> JoinSet<EngineReport> {
    let mut round = JoinSet::new();
    let in_force = cx.in_force();
    for (service, cfg) in &in_force.deployment.services {
        if cfg.service_type != ServiceType::Model {
            continue;
        }
        for (key, backend) in cx.backends.of(service) {
            let BackendClient::Engine(engine) = backend.client else { continue };
            let after = next_events.get(&key).copied().unwrap_or(0);
            round.spawn(poll(engine, service.clone(), key, after));
        }
    }
    round
}

// The timeouts keep an engine that doesn't reply from delaying the round: otherwise the loads of all
// other engines would become outdated.
async fn poll(
    engine: Arc<dyn Engine>,
    service: ServiceName,
    key: WorkerKey,
    after: u64,
) -> EngineReport {
    let load = tokio::time::timeout(REPORT_TIMEOUT, engine.load()).await;
    let load = load.ok().and_then(Result::ok);
    let mut events = Vec::new();
    if load.is_some() {
        let events_reply = tokio::time::timeout(REPORT_TIMEOUT, engine.cache_events(after)).await;
        events = events_reply.ok().and_then(Result::ok).unwrap_or_default();
    }
    EngineReport { service, key, load, events }
}

// Forwards the replies to the dispatcher; returns the number of the engine's next cache event.
async fn forward(cx: &Context, report: EngineReport, after: u64) -> u64 {
    let EngineReport { service, key, load, events } = report;
    if let Some(load) = load {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            backlog: load.prefill_backlog,
            step: Duration::from_micros(load.step_micros.into()),
            taken_at: cx.clock.now() - REPORT_LAG,
        };
        let _ = cx.dispatcher.send(Report { service: service.clone(), key, report }).await;
    }
    let next = events.last().map_or(after, |event| event.sequence + 1);
    if !events.is_empty() {
        let changes = events.iter().map(|event| (event.block, event.held)).collect();
        let _ = cx.dispatcher.send(CacheChanges { service, key, changes }).await;
    }
    next
}
