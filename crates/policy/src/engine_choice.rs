//! The choice of the engine with the earliest expected first token for a request.

mod candidate;
mod copies;

use std::time::Duration;

use rand::{Rng, RngExt};

use candidate::{Candidate, ExpectedWork, fill};
use copies::{COPY_SETUP_MS, COPY_WEIGHT, DELAY_WEIGHT, REPEAT_WEIGHT, add_copies};

use crate::{
    copy_source::MIN_COPIED_TOKENS,
    observed::EngineLatencyModel,
    parts::PromptPart,
    placement::{WorkerKey, rendezvous_score},
    prefix_homes::DemandHomes,
};

/// The share of the common prompt parts that a home engine is assumed to cache without a local
/// record: other nodes send prompts with the same parts there.
const HOME_CACHED_SHARE: f64 = 0.6;
/// The number of home engines for a prompt part: two, so that the loss of one does not lose the
/// part.
const HOME_ENGINES: usize = 2;
/// The usable share of an engine's memory; the rest is for answers longer than the hint.
const USABLE_MEMORY_SHARE: f64 = 0.85;
/// The maximum random jitter of a score, in milliseconds; it keeps nodes from making identical
/// choices.
const JITTER_MS: f64 = 3.0;
/// The penalty for each running request, as a multiple of the increase of the event gap that it
/// causes: a fuller batch is slower for all its requests, and these have prompts to compute too.
const CONTENTION_EVENTS: f64 = 3.0;
/// The weight of the slowdown of the answer's own events relative to that of its first token: a long
/// answer spends more time in the batch than waiting for it.
const ANSWER_CONTENTION_WEIGHT: f64 = 0.08;
/// The weight of the time that a whole answer takes longer at a slow engine, relative to that of its first token. Callers
/// wait for the first token; of an answer they notice the pauses.
const PACE_WEIGHT: f64 = 0.1;
/// The penalty for a failure rate of 1, in milliseconds: about one lost attempt.
const FAILURE_PENALTY_MS: f64 = 1_500.0;
/// An `EngineView` is the view that a node has of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
    /// The engine.
    pub key: WorkerKey,
    /// A hash of its name, equal on all nodes.
    pub identity: u64,
    /// The number of slots in its batch.
    pub slots: u32,
    /// The capacity of its memory in tokens.
    pub memory: u64,
    /// The requests that all nodes have there.
    pub requests: u32,
    /// The prompt tokens of requests that are at least as urgent and have no first token yet.
    pub waiting_tokens: u64,
    /// The tokens that requests occupy in its memory.
    pub held_tokens: u64,
    /// The leading tokens of the prompt that it caches according to this node's records.
    pub cached: u32,
    /// The ratio of the actual to the predicted time to first token, for recent requests.
    pub slowness: f64,
    /// The one-way network latency to it.
    pub network_latency: Duration,
    /// The share of failures among recent calls there.
    pub failure_rate: f64,
    /// Whether its circuit breaker is open; it is then used only if the breakers of all engines
    /// are.
    pub circuit_open: bool,
}

/// An `EngineRequest` is a request for an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest<'a> {
    /// The shareable parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// The tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The expected number of answer tokens.
    pub answer_tokens: u32,
    /// The maximum number of leading prompt tokens that any engine probably caches.
    pub cached_elsewhere: u32,
    /// The tokens that an engine can copy from another one per millisecond; 0 if it can't.
    pub copied_per_ms: f64,
    /// The latency model of the engines.
    pub model: EngineLatencyModel,
    /// The prompt tokens that other nodes sent to all engines and that the views do not include
    /// yet.
    pub unseen_tokens: f64,
}

/// `EngineSpeeds` are what is known of the engines' own speeds beyond their [`slowness`](EngineView::slowness).
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSpeeds<'a> {
    /// The times between events as multiples of the model's, in the order of the engines; missing ones count as 1.
    pub pauses: &'a [f64],
    /// The longest pause that the route allows between two events; none if it has no limit.
    pub max_pause: Option<Duration>,
}

/// An `EngineChoice` is an engine with the expected work and latency of the request there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub key: WorkerKey,
    /// The prompt tokens that it has to compute.
    pub prefill_tokens: u32,
    /// The leading prompt tokens that it caches according to this node's records.
    pub cached: u32,
    /// The prompt tokens that it copies from another engine.
    pub copied: u32,
    /// The expected queueing time before the computation of the prompt.
    pub wait: Duration,
    /// The expected time to first token.
    pub first_token: Duration,
    /// Whether a copy would have been faster for this request, but would have delayed others more.
    pub copy_avoided: bool,
}

/// `Homes` are the engines that are expected to cache a request's prefix without a local record.
#[derive(Clone, Copy, Debug)]
pub enum Homes<'a> {
    /// Two for each prefix; copies are made wherever they are possible.
    Fixed,
    /// As many as the use of the prefix needs; copies are made if they save more time than they delay.
    ByDemand(&'a DemandHomes),
}

/// Returns the engine with the lowest score among engines whose speeds between events are equal, or none without engines.
pub fn choose_engine(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    random: &mut dyn Rng,
) -> Option<EngineChoice> {
    choose_engine_by_speed(req, engines, EngineSpeeds::default(), random)
}

/// Returns the engine with the lowest score, which is the expected time to first token plus
/// penalties, or none without engines.
///
/// If many nodes see the same slightly outdated loads and all choose the engine with the lowest
/// score, their requests queue behind each other there. A node therefore assumes that the requests
/// that it can't see yet fill up the engines with the lowest scores to a common level, and chooses
/// among these with a probability proportional to the gap between score and level. Only engines
/// that have no more prompt tokens to compute or copy than the best one take part.
pub fn choose_engine_by_speed(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    speeds: EngineSpeeds<'_>,
    random: &mut dyn Rng,
) -> Option<EngineChoice> {
    choose_engine_at_homes(req, engines, speeds, Homes::Fixed, random)
}

/// Returns the engine with the lowest score, as [`choose_engine_by_speed`] does, with given homes of the prefix.
pub fn choose_engine_at_homes(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    speeds: EngineSpeeds<'_>,
    homes: Homes<'_>,
    random: &mut dyn Rng,
) -> Option<EngineChoice> {
    let fixed = match homes {
        Homes::Fixed => fixed_homes(req.parts, engines),
        Homes::ByDemand(_) => [None; HOME_ENGINES],
    };
    let any_closed = engines.iter().any(|engine| !engine.circuit_open);
    let mut candidates: Vec<Candidate> = Vec::with_capacity(engines.len());
    for (at, engine) in engines.iter().enumerate() {
        if engine.circuit_open && any_closed {
            continue;
        }
        let pause = speeds.pauses.get(at).copied().unwrap_or(1.0);
        let own = OwnPace { pause, running: concurrent(req, engine, pause, speeds.max_pause) };
        let jitter = random.random_range(0.0..JITTER_MS);
        let (choice, score) = match homes {
            Homes::Fixed => {
                let assumed = assumed_tokens(req, fixed.contains(&Some(engine.key)));
                let choice = expected_choice(req, engine, own, assumed);
                (choice, score(req, engine, own, &choice))
            }
            Homes::ByDemand(homes) => {
                let share = homes.share(at);
                let prefix = homes.prefix_tokens.min(req.prompt_tokens);
                let assumed = (f64::from(prefix) * share) as u32;
                let without_copy = EngineRequest { copied_per_ms: 0.0, ..req };
                let choice = expected_choice(without_copy, engine, own, assumed);
                let repeated = if share <= 0.0 { prefix.saturating_sub(engine.cached) } else { 0 };
                let repeated = req.model.prefill_ms(f64::from(repeated)) * REPEAT_WEIGHT;
                (choice, score(req, engine, own, &choice) + repeated)
            }
        };
        candidates.push(Candidate { at, score: score + jitter, choice });
    }
    let engine_count = candidates.len();
    let is_copy_avoided = match homes {
        Homes::Fixed => false,
        Homes::ByDemand(homes) => add_copies(req, engines, homes, &mut candidates),
    };
    let best = candidates.iter().min_by(|one, other| one.compare(other))?;
    // Computing or copying more of the prompt elsewhere costs more than a queue that may not exist.
    let min_work = best.prompt_work();
    candidates.retain(|candidate| candidate.prompt_work() <= min_work);
    let unseen_ms = req.model.prefill_ms(req.unseen_tokens)
        * candidates.len().min(engine_count) as f64
        / engine_count as f64;
    let (filled, level) = fill(candidates, unseen_ms);
    let mut remaining = random.random_range(0.0..1.0) * unseen_ms;
    for Candidate { score, choice, .. } in &filled {
        remaining -= level - score;
        if remaining <= 0.0 {
            return Some(choice.choice(is_copy_avoided));
        }
    }
    filled.first().map(|first| first.choice.choice(is_copy_avoided))
}

/// The pace of one engine's events.
#[derive(Clone, Copy)]
struct OwnPace {
    /// The time between events as a multiple of the model's.
    pause: f64,
    /// The number of requests that may run at once.
    running: u32,
}

// Returns how many requests may run at once on an engine: its slots, or as many fewer as its own pace requires for the
// longest pause that the route allows.
fn concurrent(
    req: EngineRequest<'_>,
    engine: &EngineView,
    pause: f64,
    max_pause: Option<Duration>,
) -> u32 {
    let Some(max_pause) = max_pause else { return engine.slots };
    let gap = req.model.gap;
    if pause <= 1.0 || gap.slope <= 0.0 {
        return engine.slots;
    }
    let at_pace = |pause: f64| (max_pause.as_secs_f64() * 1_000.0 / pause - gap.base) / gap.slope;
    let usual = at_pace(1.0).clamp(1.0, f64::from(engine.slots.max(1)));
    at_pace(pause).clamp(1.0, usual) as u32
}

fn assumed_tokens(req: EngineRequest<'_>, is_home: bool) -> u32 {
    if !is_home {
        return 0;
    }
    let shared: u32 = req.parts.iter().map(|part| part.tokens).sum();
    (f64::from(shared.min(req.prompt_tokens)) * HOME_CACHED_SHARE) as u32
}

fn expected_choice(
    req: EngineRequest<'_>,
    engine: &EngineView,
    own: OwnPace,
    assumed: u32,
) -> ExpectedWork {
    let cached_tokens = engine.cached.max(assumed);
    let copied = copied_tokens(req, cached_tokens);
    let prefill_tokens = req.prompt_tokens.saturating_sub(cached_tokens + copied);
    let needed = u64::from(req.prompt_tokens) + u64::from(req.answer_tokens);
    let usable = (engine.memory as f64 * USABLE_MEMORY_SHARE) as u64;
    // An engine that runs out of memory preempts the newest requests and computes them again.
    let preempted = (engine.held_tokens + needed).saturating_sub(usable).min(needed + usable);
    let queued = engine.requests.saturating_sub(own.running);
    // With a full batch, a slot becomes free whenever an answer ends.
    let slot_ms = req.model.decode_work_ms(f64::from(req.answer_tokens), f64::from(own.running));
    let queued_prefill = req.model.prefill_ms(engine.waiting_tokens as f64 + preempted as f64);
    let wait = queued_prefill * engine.slowness + f64::from(queued) * slot_ms * own.pause;
    let copy = if 0 < copied { COPY_SETUP_MS + f64::from(copied) / req.copied_per_ms } else { 0.0 };
    let prefill = req.model.first.at(f64::from(prefill_tokens)) * engine.slowness;
    ExpectedWork {
        key: engine.key,
        prefill_tokens,
        cached: engine.cached,
        copied,
        wait_ms: wait,
        first_token_ms: wait + copy + prefill,
    }
}

// Copying takes at most an eighth of the time of computing the same tokens.
fn copied_tokens(req: EngineRequest<'_>, cached_tokens: u32) -> u32 {
    let copied = req.cached_elsewhere.min(req.prompt_tokens).saturating_sub(cached_tokens);
    if 0.0 < req.copied_per_ms && MIN_COPIED_TOKENS <= copied { copied } else { 0 }
}

// Returns the expected time to first token plus penalties, in milliseconds.
fn score(req: EngineRequest<'_>, engine: &EngineView, own: OwnPace, choice: &ExpectedWork) -> f64 {
    let first_token = choice.first_token_ms;
    let utilization = f64::from(engine.requests) / f64::from(engine.slots.max(1));
    let delay = req.model.prefill_ms(f64::from(choice.prefill_tokens)) * utilization * DELAY_WEIGHT;
    let slowdown = req.model.gap.slope * CONTENTION_EVENTS;
    let slowdown =
        slowdown + req.model.contention_ms(f64::from(req.answer_tokens)) * ANSWER_CONTENTION_WEIGHT;
    let contention = f64::from(engine.requests) * slowdown * own.pause;
    // The longer the answer, the more the engine's own pace matters.
    let running = f64::from(engine.requests.min(own.running) + 1);
    let answer = req.model.decode_ms(f64::from(req.answer_tokens), running);
    let pace = answer * (own.pause - 1.0) * PACE_WEIGHT;
    let round_trip = engine.network_latency.as_secs_f64() * 2_000.0;
    let copy = req.model.prefill_ms(f64::from(choice.copied)) * COPY_WEIGHT;
    first_token
        + delay * engine.slowness
        + copy
        + contention
        + pace
        + round_trip
        + engine.failure_rate * FAILURE_PENALTY_MS
}

// Returns the home engines of the largest part. All nodes compute the same homes, so prompts with a
// common prefix reach the same engines without communication.
fn fixed_homes(parts: &[PromptPart], engines: &[EngineView]) -> [Option<WorkerKey>; HOME_ENGINES] {
    let mut homes = [None; HOME_ENGINES];
    let Some(largest) = parts.iter().max_by_key(|part| part.tokens) else { return homes };
    let mut highest = [None; HOME_ENGINES];
    for engine in engines.iter().filter(|engine| !engine.circuit_open) {
        let mut next = (rendezvous_score(largest.id, engine.identity), engine.key);
        for (place, home) in highest.iter_mut().zip(&mut homes) {
            // Among equal scores the first engine stays ahead.
            if place.is_some_and(|score| next.0 <= score) {
                continue;
            }
            let (before, key) = (place.replace(next.0), home.replace(next.1));
            let (Some(score), Some(key)) = (before, key) else { break };
            next = (score, key);
        }
    }
    homes
}
