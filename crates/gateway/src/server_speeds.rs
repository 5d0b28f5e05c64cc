//! The exchange of the speeds of backend servers between nodes.

use std::{collections::BTreeMap, sync::Arc};

use bulrushhall_coord::facts::{FactKindId, FactValue, Facts};
use bulrushhall_core::{Event, ServiceName, Stamp};
use bulrushhall_policy::{
    placement::WorkerKey,
    server_speed::{ServicePrior, SpeedReport, SpeedSums, SpeedVerdict},
};

use crate::{
    backends::{Backend, QuantitySpeed},
    gateway::State,
    meters,
    reported_facts::SPEEDS,
};

/// The reports that a node sets in a round of 250 ms at most: with names known they take up to 25 bytes each, and 60 with
/// a name.
const REPORTS_PER_ROUND: usize = 2;
/// The weight below which an own report is withdrawn.
const MIN_WEIGHT: f64 = 0.05;

/// Takes in what is known of the speeds of all servers, and sets this node's own reports.
pub fn exchange_speeds(state: &mut State, now: Stamp) {
    let State { facts, backends, .. } = state;
    let mut known: Vec<(WorkerKey, usize, SpeedReport)> = Vec::new();
    let mut sums: BTreeMap<(ServiceName, usize), Vec<SpeedSums>> = BTreeMap::new();
    for (key, backend) in backends.iter() {
        let subject = &*backend.fact_subject;
        for (at, kind) in SPEEDS.into_iter().enumerate() {
            let own = quantity(backend, at).own_report(now);
            let merged = match merged(facts, now, kind, subject, own) {
                Some(merged) => merged,
                // What was known has expired.
                None if 0.0 < quantity(backend, at).known() => SpeedReport::default(),
                None => continue,
            };
            sums.entry((backend.record.service.clone(), at)).or_default().push(merged.lasting);
            known.push((key, at, merged));
        }
    }
    let prior = |sums: &Vec<SpeedSums>| ServicePrior::of(sums.iter().copied());
    let priors: BTreeMap<_, ServicePrior> =
        sums.iter().map(|(of, sums)| (of.clone(), prior(sums))).collect();
    let mut due: Vec<(f64, FactKindId, Arc<str>, SpeedReport)> = Vec::new();
    for (key, at, merged) in known {
        let Some(backend) = backends.get_mut(key) else { continue };
        let prior = priors.get(&(backend.record.service.clone(), at)).copied().unwrap_or_default();
        quantity_mut(backend, at).update(now, merged, prior);
        let subject = Arc::clone(&backend.fact_subject);
        let sent = facts.own(SPEEDS[at], &subject).and_then(report_of).unwrap_or_default();
        let (report, importance) = quantity(backend, at).due_report(now, sent, merged);
        if report.lasting.weight < MIN_WEIGHT && 0.0 < sent.lasting.weight {
            facts.withdraw(SPEEDS[at], &subject);
        } else if 1.0 <= importance {
            due.push((importance, SPEEDS[at], subject, report));
        }
    }
    due.sort_by(|one, other| other.0.total_cmp(&one.0));
    for (_, kind, subject, report) in due.into_iter().take(REPORTS_PER_ROUND) {
        let Ok(value) = FactValue::new(&report.numbers()) else { continue };
        // A server of which there are too many, or whose name is too long, is judged by this node's answers alone.
        let _ = facts.set(now, kind, &subject, value);
    }
    note_verdicts(state, now, &priors);
}

// Returns the report over all nodes: of the others as received, of this node as it is now. Without any there is none.
fn merged(
    facts: &Facts,
    now: Stamp,
    kind: FactKindId,
    subject: &str,
    own: SpeedReport,
) -> Option<SpeedReport> {
    let others = facts.merged_others(now, kind, subject);
    let reported = others.and_then(|others| {
        let report = report_of(others.value)?;
        Some(report.bounded(others.nodes as usize))
    });
    match reported {
        Some(reported) => Some(own.plus(reported)),
        None if 0.0 < own.lasting.weight => Some(own),
        None => None,
    }
}

fn report_of(value: FactValue) -> Option<SpeedReport> {
    SpeedReport::from_numbers(value.numbers())
}

fn quantity(backend: &Backend, at: usize) -> &QuantitySpeed {
    let speed = &backend.speed;
    [&speed.first, &speed.pause, &speed.call][at]
}

fn quantity_mut(backend: &mut Backend, at: usize) -> &mut QuantitySpeed {
    let speed = &mut backend.speed;
    match at {
        0 => &mut speed.first,
        1 => &mut speed.pause,
        _ => &mut speed.call,
    }
}

// Logs the servers that are lastingly slower or faster than their service, or no longer.
fn note_verdicts(
    state: &mut State,
    now: Stamp,
    priors: &BTreeMap<(ServiceName, usize), ServicePrior>,
) {
    let nodes = state.members.count();
    let mut counts = [0_u32; 3];
    for (_, backend) in state.backends.iter_mut() {
        // An engine is judged by its first tokens, a plain server by its calls.
        let at = if backend.speed.call.known() < backend.speed.first.known() { 0 } else { 2 };
        let service = &backend.record.service;
        let usual = priors.get(&(service.clone(), at)).map_or(0.0, |prior| prior.mean);
        let (factor, samples) = (quantity(backend, at).factor(), quantity(backend, at).known());
        let factor = factor / usual.exp();
        if let Some((verdict, age)) = backend.speed.verdict.update(now, factor, samples) {
            tracing::info!(
                event = Event::ServerSpeedChanged.number(),
                backend = &*backend.name,
                service = backend.record.service.as_str(),
                speed = verdict.as_str(),
                factor,
                samples,
                age_ms = age.as_secs_f64() * 1_000.0,
                nodes
            );
        }
        counts[match backend.speed.verdict.verdict() {
            SpeedVerdict::Usual => 0,
            SpeedVerdict::Slower => 1,
            SpeedVerdict::Faster => 2,
        }] += 1;
    }
    let verdicts = [SpeedVerdict::Usual, SpeedVerdict::Slower, SpeedVerdict::Faster];
    for (verdict, count) in verdicts.into_iter().zip(counts) {
        meters::servers_by_speed(verdict, count);
    }
}
