//! The duty that follows the load and the caches of the engines.

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
/// How far an engine's report is taken to lag behind.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// The longest time that an engine may take to report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// What one engine told.
struct Told {
    service: ServiceName,
    key: WorkerKey,
    load: Option<EngineLoad>,
    events: Vec<CacheEvent>,
}

/// Follows the engines for as long as the node runs.
pub async fn follow(cx: Arc<Context>) {
    let mut next_events: BTreeMap<WorkerKey, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(REPORT_PAUSE).await;
        let nodes = cx.members.current().iter().filter(|member| !member.leaving).count() + 1;
        let _ = cx.dispatcher.send(SetNodes(nodes)).await;
        let mut round = ask_all(&cx, &next_events);
        let mut heard = BTreeMap::new();
        while let Some(told) = round.join_next().await {
            let Ok(told) = told else { continue };
            let after = next_events.get(&told.key).copied().unwrap_or(0);
            heard.insert(told.key, pass_on(&cx, told, after).await);
        }
        next_events = heard;
    }
}

fn ask_all(cx: &Context, next_events: &BTreeMap<WorkerKey, u64>) -> JoinSet<Told> {
    let mut round = JoinSet::new();
    let in_force = cx.in_force();
    for (service, cfg) in &in_force.deployment.services {
        if cfg.service_type != ServiceType::Model {
            continue;
        }
        for (key, backend) in cx.backends.of(service) {
            let BackendClient::Engine(engine) = backend.client else { continue };
            let after = next_events.get(&key).copied().unwrap_or(0);
            round.spawn(ask(engine, service.clone(), key, after));
        }
    }
    round
}

// An engine that is silent keeps only its own question waiting, and that not for long: a round
// that hung on it would make the loads of all others old.
async fn ask(engine: Arc<dyn Engine>, service: ServiceName, key: WorkerKey, after: u64) -> Told {
    let load = tokio::time::timeout(REPORT_TIMEOUT, engine.load()).await;
    let load = load.ok().and_then(Result::ok);
    let mut events = Vec::new();
    if load.is_some() {
        let answer = tokio::time::timeout(REPORT_TIMEOUT, engine.cache_events(after)).await;
        events = answer.ok().and_then(Result::ok).unwrap_or_default();
    }
    Told { service, key, load, events }
}

// Returns the number of the engine's next cache event.
async fn pass_on(cx: &Context, told: Told, after: u64) -> u64 {
    let Told { service, key, load, events } = told;
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
