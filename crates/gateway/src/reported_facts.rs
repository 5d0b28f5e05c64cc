//! The kinds of facts that nodes report to each other, and what they stand for.

use std::time::Duration;

use bulrushhall_coord::facts::{
    FactKind, FactKindId, FactPriority, FactScope, FactValue, Facts, MergeRule,
};
use bulrushhall_core::{Incarnation, ServiceName, Stamp};
use bulrushhall_policy::{
    observed::{EngineLatencyModel, Line, ModelSum},
    server_speed::MAX_REPORT_NUMBER,
};

use crate::{
    cluster::Digest,
    demand::Offered,
    gateway::State,
    prefix_homes::{PREFIX_USES_FACT, limit_uses},
    waiting::QUEUED_FACT,
};

/// The load that a node offers to the engines of a service.
pub const OFFERED: FactKindId = FactKindId(1);
/// The latency model of the engines of a service.
pub const ENGINE_LATENCY: FactKindId = FactKindId(2);
/// The sum of the latency models of the engines of a service.
pub const MODEL_SUM: FactKindId = FactKindId(4);

/// The first tokens, pauses and calls of one incarnation of a backend server.
pub const SPEEDS: [FactKindId; 3] = [FactKindId(16), FactKindId(17), FactKindId(18)];

const SPEED: FactKind = FactKind {
    id: FactKindId(0),
    rule: MergeRule::Sum,
    max_age: Duration::from_secs(30),
    max_subjects: 4_096,
    priority: FactPriority::Normal,
    // Nodes decide themselves which of their own changes are worth sending; this bounds what relays send.
    tolerance: 0.2,
    settle_time: Duration::from_secs(2),
};

/// The kinds of facts.
const KINDS: [FactKind; 8] = [
    FactKind { id: SPEEDS[0], ..SPEED },
    FactKind { id: SPEEDS[1], ..SPEED },
    FactKind { id: SPEEDS[2], ..SPEED },
    FactKind {
        id: OFFERED,
        rule: MergeRule::Sum,
        max_age: Duration::from_secs(3),
        max_subjects: 1_024,
        priority: FactPriority::Normal,
        // It is a moving average that changes with each request, and a fleet plan counts whole engines.
        tolerance: 0.1,
        settle_time: Duration::from_secs(2),
    },
    FactKind {
        id: ENGINE_LATENCY,
        rule: MergeRule::Newest,
        max_age: Duration::from_secs(30),
        max_subjects: 1_024,
        priority: FactPriority::Low,
        tolerance: 0.0,
        settle_time: Duration::from_secs(2),
    },
    QUEUED_FACT,
    FactKind {
        id: MODEL_SUM,
        rule: MergeRule::Sum,
        max_age: Duration::from_secs(30),
        max_subjects: 256,
        priority: FactPriority::Low,
        // A fleet plan counts whole engines, and models of single nodes differ by more.
        tolerance: 0.1,
        settle_time: Duration::from_secs(2),
    },
    PREFIX_USES_FACT,
];

/// The offered load, in tokens per second, below which none is reported.
const MIN_OFFERED: f64 = 1.0;
/// The age from which a latency model is replaced by that of another node. It serves nodes without samples of
/// their own, which need any recent one.
const MODEL_INTERVAL: Duration = Duration::from_secs(10);

/// Returns a registry with all kinds; `own` is the incarnation of this node.
pub fn registry(own: Incarnation) -> Facts {
    let mut facts = Facts::new(own);
    for kind in KINDS {
        // The ids are distinct.
        let _ = facts.register(kind);
    }
    for kind in SPEEDS {
        facts.limit_numbers(kind, MAX_REPORT_NUMBER);
    }
    limit_uses(&mut facts);
    facts
}

/// Sets the facts that this node reports of itself.
pub fn set_own(state: &mut State, now: Stamp) {
    let State { facts, demand, observed, shares_models, .. } = state;
    for (service, demand) in demand {
        let rate = demand.rate(now);
        let subject = service.as_str();
        if rate.read + rate.answer < MIN_OFFERED {
            facts.withdraw(OFFERED, subject);
            continue;
        }
        // Names of services are shorter than subjects may be.
        let _ = facts.set(now, OFFERED, subject, offered_value(rate));
    }
    for (service, observed) in observed {
        let Some(model) = observed.engines.own_model() else { continue };
        let subject = service.as_str();
        let set_age = facts.set_age(now, ENGINE_LATENCY, subject);
        if set_age.is_none_or(|age| MODEL_INTERVAL <= age) {
            let _ = facts.set(now, ENGINE_LATENCY, subject, model_value(&model));
        }
        if *shares_models {
            let sum = ModelSum::of(&model).to_numbers();
            let _ = facts.set(now, MODEL_SUM, subject, FactValue::new(&sum).unwrap_or_default());
        }
    }
}

/// Returns the load that other nodes offer to the engines of a service.
pub fn offered_by_others(state: &State, now: Stamp, service: &ServiceName) -> Offered {
    let merged = state.facts.merged_others(now, OFFERED, service.as_str());
    merged.map(|merged| offered_of(merged.value)).unwrap_or_default()
}

/// Returns the latency model of a service's engines from the samples of all nodes; none without any.
pub fn shared_model(
    state: &State,
    now: Stamp,
    service: &ServiceName,
) -> Option<EngineLatencyModel> {
    let subject = service.as_str();
    let own = state.observed.get(service).and_then(|observed| observed.engines.own_model());
    let own = own.map(|model| ModelSum::of(&model)).unwrap_or_default();
    let others = state.facts.merged_others(now, MODEL_SUM, subject);
    let others = others.map(|merged| {
        let mut numbers = [0.0; ModelSum::NUMBERS];
        for (at, number) in numbers.iter_mut().enumerate() {
            *number = merged.value.number(at);
        }
        ModelSum::from_numbers(numbers)
    });
    own.plus(others.unwrap_or_default()).mean()
}

/// Applies the facts that are used elsewhere than in the registry.
pub fn apply_received(state: &mut State, now: Stamp) {
    let mut models = Vec::new();
    for service in state.facts.subjects(now, ENGINE_LATENCY) {
        let merged = state.facts.merged_others(now, ENGINE_LATENCY, service);
        let Ok(service) = ServiceName::new(service) else { continue };
        models.extend(merged.map(|merged| (service, model_of(merged.value))));
    }
    for (service, model) in models {
        state.observed(&service).engines.receive(model);
    }
}

/// Adds the fields that nodes of an earlier version read, which know no facts.
pub fn fill_earlier_fields(state: &State, now: Stamp, scope: &FactScope, digest: &mut Digest) {
    for (service, value) in state.facts.reported(now, scope, OFFERED) {
        let Ok(service) = ServiceName::new(service) else { continue };
        digest.offered.push((service, offered_of(value)));
    }
    for (service, observed) in &state.observed {
        let model = observed.engines.own_model();
        digest.latency_models.extend(model.map(|model| (service.clone(), model)));
    }
}

/// Applies the fields of a node of an earlier version, which sends no facts.
pub fn receive_earlier_fields(state: &mut State, now: Stamp, scope: &FactScope, digest: &Digest) {
    let offered = digest.offered.iter().filter_map(|(service, offered)| {
        let value = FactValue::new(&[offered.read, offered.answer]).ok()?;
        Some((service.as_str(), value))
    });
    state.facts.receive_reported(now, digest.incarnation, scope, OFFERED, offered);
}

fn offered_value(offered: Offered) -> FactValue {
    // Fractions of tokens are of no use and take more bytes.
    FactValue::new(&[offered.read.round(), offered.answer.round()]).unwrap_or_default()
}

fn offered_of(value: FactValue) -> Offered {
    Offered { read: value.number(0), answer: value.number(1) }
}

fn model_value(model: &EngineLatencyModel) -> FactValue {
    let EngineLatencyModel { first, gap, event_tokens, samples } = model;
    let numbers = [first.base, first.slope, gap.base, gap.slope, *event_tokens, *samples as f64];
    FactValue::new(&numbers).unwrap_or_default()
}

fn model_of(value: FactValue) -> EngineLatencyModel {
    EngineLatencyModel {
        first: Line { base: value.number(0), slope: value.number(1) },
        gap: Line { base: value.number(2), slope: value.number(3) },
        event_tokens: value.number(4),
        samples: value.number(5) as u64,
    }
}
