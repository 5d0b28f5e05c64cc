//! The choice of the engine with the earliest expected first token for a request.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{
    copy_source::MIN_COPIED_TOKENS,
    observed::EngineLatencyModel,
    parts::PromptPart,
    placement::{WorkerKey, rendezvous_score},
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
/// The penalty for a failure rate of 1, in milliseconds: about one lost attempt.
const FAILURE_PENALTY_MS: f64 = 1_500.0;
/// The setup time of a copy from the memory of another engine, in milliseconds: known engines take
/// 1.7 and 5 ms, plus the network latency between two availability zones.
const COPY_SETUP_MS: f64 = 6.0;
/// The weight of a copied token relative to a computed one: a copy is fast, but uses memory of a
/// second engine and network bandwidth. If only its time counted, every queue of a few milliseconds
/// would move a prompt.
const COPY_WEIGHT: f64 = 0.5;
/// The weight of the delay that computing a prompt causes to the requests of a full batch.
const DELAY_WEIGHT: f64 = 0.5;

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
}

/// Returns the engine with the lowest score, which is the expected time to first token plus
/// penalties, or none without engines.
///
/// If many nodes see the same slightly outdated loads and all choose the engine with the lowest
/// score, their requests queue behind each other there. A node therefore assumes that the requests
/// that it can't see yet fill up the engines with the lowest scores to a common level, and chooses
/// among these with a probability proportional to the gap between score and level. Only engines
/// that have no more prompt tokens to compute or copy than the best one take part.
pub fn choose_engine(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    random: &mut dyn Rng,
) -> Option<EngineChoice> {
    let homes = homes(req.parts, engines);
    let any_closed = engines.iter().any(|engine| !engine.circuit_open);
    let mut candidates: Vec<Candidate> = Vec::new();
    for engine in engines {
        if engine.circuit_open && any_closed {
            continue;
        }
        let choice = expected_choice(req, engine, homes.contains(&Some(engine.key)));
        let score = score(req, engine, &choice) + random.random_range(0.0..JITTER_MS);
        candidates.push(Candidate { score, choice });
    }
    candidates.sort_by(|one, other| one.score.total_cmp(&other.score));
    let engine_count = candidates.len();
    // Computing or copying more of the prompt elsewhere costs more than a queue that may not exist.
    let min_work = candidates.first()?.prompt_work();
    candidates.retain(|candidate| candidate.prompt_work() <= min_work);
    let unseen_ms =
        req.model.prefill_ms(req.unseen_tokens) * candidates.len() as f64 / engine_count as f64;
    let level = fill_level(&candidates, unseen_ms);
    let mut remaining = random.random_range(0.0..1.0) * unseen_ms;
    for Candidate { score, choice } in &candidates {
        remaining -= level - score;
        if remaining <= 0.0 {
            return Some(*choice);
        }
    }
    candidates.first().map(|first| first.choice)
}

/// An engine that may be chosen, with its score in milliseconds.
struct Candidate {
    score: f64,
    choice: EngineChoice,
}

impl Candidate {
    /// Returns the prompt tokens that the engine computes or copies.
    fn prompt_work(&self) -> u32 {
        self.choice.prefill_tokens + self.choice.copied
    }
}

// Returns the level to which `amount` fills up the engines with the lowest scores. The candidates
// are sorted by score.
fn fill_level(candidates: &[Candidate], amount: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = f64::NEG_INFINITY;
    for (at, Candidate { score, .. }) in candidates.iter().enumerate() {
        if level <= *score && 0 < at {
            break;
        }
        sum += score;
        level = (amount + sum) / (at + 1) as f64;
    }
    level
}

fn expected_choice(req: EngineRequest<'_>, engine: &EngineView, is_home: bool) -> EngineChoice {
    let shared: u32 = req.parts.iter().map(|part| part.tokens).sum();
    let assumed = if is_home {
        (f64::from(shared.min(req.prompt_tokens)) * HOME_CACHED_SHARE) as u32
    } else {
        0
    };
    let cached_tokens = engine.cached.max(assumed);
    let copied = copied_tokens(req, cached_tokens);
    let prefill_tokens = req.prompt_tokens.saturating_sub(cached_tokens + copied);
    let needed = u64::from(req.prompt_tokens) + u64::from(req.answer_tokens);
    let usable = (engine.memory as f64 * USABLE_MEMORY_SHARE) as u64;
    // An engine that runs out of memory preempts the newest requests and computes them again.
    let preempted = (engine.held_tokens + needed).saturating_sub(usable).min(needed + usable);
    let queued = engine.requests.saturating_sub(engine.slots);
    // With a full batch, a slot becomes free whenever an answer ends.
    let slot_ms = req.model.decode_work_ms(f64::from(req.answer_tokens), f64::from(engine.slots));
    let queued_prefill = req.model.prefill_ms(engine.waiting_tokens as f64 + preempted as f64);
    let wait = (queued_prefill + f64::from(queued) * slot_ms) * engine.slowness;
    let copy = if 0 < copied { COPY_SETUP_MS + f64::from(copied) / req.copied_per_ms } else { 0.0 };
    let prefill = req.model.first.at(f64::from(prefill_tokens)) * engine.slowness;
    EngineChoice {
        key: engine.key,
        prefill_tokens,
        cached: engine.cached,
        copied,
        wait: Duration::from_secs_f64(wait / 1_000.0),
        first_token: Duration::from_secs_f64((wait + copy + prefill) / 1_000.0),
    }
}

// Copying takes at most an eighth of the time of computing the same tokens.
fn copied_tokens(req: EngineRequest<'_>, cached_tokens: u32) -> u32 {
    let copied = req.cached_elsewhere.min(req.prompt_tokens).saturating_sub(cached_tokens);
    if 0.0 < req.copied_per_ms && MIN_COPIED_TOKENS <= copied { copied } else { 0 }
}

// Returns the expected time to first token plus penalties, in milliseconds.
fn score(req: EngineRequest<'_>, engine: &EngineView, choice: &EngineChoice) -> f64 {
    let first_token = choice.first_token.as_secs_f64() * 1_000.0;
    let utilization = f64::from(engine.requests) / f64::from(engine.slots.max(1));
    let delay = req.model.prefill_ms(f64::from(choice.prefill_tokens)) * utilization * DELAY_WEIGHT;
    let slowdown = req.model.gap.slope * CONTENTION_EVENTS;
    let slowdown =
        slowdown + req.model.contention_ms(f64::from(req.answer_tokens)) * ANSWER_CONTENTION_WEIGHT;
    let contention = f64::from(engine.requests) * slowdown;
    let round_trip = engine.network_latency.as_secs_f64() * 2_000.0;
    let copy = req.model.prefill_ms(f64::from(choice.copied)) * COPY_WEIGHT;
    first_token + delay + copy + contention + round_trip + engine.failure_rate * FAILURE_PENALTY_MS
}

// Returns the home engines of the largest part. All nodes compute the same homes, so prompts with a
// common prefix reach the same engines without communication.
fn homes(parts: &[PromptPart], engines: &[EngineView]) -> [Option<WorkerKey>; HOME_ENGINES] {
    let mut homes = [None; HOME_ENGINES];
    let Some(largest) = parts.iter().max_by_key(|part| part.tokens) else { return homes };
    let mut ranked: Vec<_> = engines
        .iter()
        .filter(|engine| !engine.circuit_open)
        .map(|engine| (rendezvous_score(largest.id, engine.identity), engine.key))
        .collect();
    ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    for (home, (_, key)) in homes.iter_mut().zip(ranked) {
        *home = Some(key);
    }
    homes
}
