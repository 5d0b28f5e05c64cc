//! The engine on which a request's first token is expected first.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{
    copy_source::MIN_COPIED_TOKENS,
    observed::EngineLatencyModel,
    parts::PromptPart,
    placement::{WorkerKey, rendezvous_score},
};

/// The part of a prompt that the engines at home for it are believed to have cached without an own
/// record: other nodes send the same prompts there.
const HOME_SHARE: f64 = 0.6;
/// The engines at home for one shared part: two, so that the loss of one does not lose the part.
const HOMES: usize = 2;
/// The part of an engine's memory that is planned with; the rest is for answers longer than hinted.
const MEMORY_SHARE: f64 = 0.85;
/// The spread, in milliseconds, of a random addend that keeps nodes from choosing alike.
const JITTER_MS: f64 = 3.0;
/// How many of the slower events count that a running request means for a first token: a fuller batch
/// is slower for all in it, and its requests read prompts too.
const CROWDED_EVENTS: f64 = 3.0;
/// The part that the slower events of the answer count against its first token: a long answer spends
/// more of its time in the batch than before.
const CROWDED_ANSWER: f64 = 0.08;
/// What a share of failures of 1 adds, in milliseconds: about one lost attempt.
const FAILING_MS: f64 = 1_500.0;
/// The time until a copy from another engine's memory begins, in milliseconds: what the early users'
/// engines take, 1.7 and 5, and the way between two availability zones.
const COPY_SETUP_MS: f64 = 6.0;
/// What a copied token counts in the choice, as a part of one that is read: a copy is quick and yet takes
/// room in a second memory and of the links. Counted by its time alone, each queue of a few
/// milliseconds would move a prompt.
const COPY_WEIGHT: f64 = 0.5;
/// How much a prompt that is read weighs for the requests already running there, per full batch.
const DELAY_WEIGHT: f64 = 0.5;

/// An `EngineView` is what a node believes of one engine at the moment of a choice.
#[derive(Clone, Copy, Debug)]
pub struct EngineView {
    /// The engine.
    pub key: WorkerKey,
    /// A hash of its name, the same on all nodes.
    pub identity: u64,
    /// The requests that its batch holds.
    pub slots: u32,
    /// The tokens that its memory holds.
    pub memory: u64,
    /// The requests of all nodes there.
    pub requests: u32,
    /// The prompt tokens, of requests at least as urgent, that have no first token yet.
    pub waiting_tokens: u64,
    /// The tokens that the requests there take in its memory.
    pub held_tokens: u64,
    /// The leading tokens of the prompt that this node's record says are cached there.
    pub cached: u32,
    /// How many times the predicted time first tokens took lately.
    pub slowness: f64,
    /// The one-way latency to it.
    pub network_latency: Duration,
    /// The share of failures among the last calls there.
    pub failure_rate: f64,
    /// Whether it fails too often to be used while there are others.
    pub circuit_open: bool,
}

/// An `EngineRequest` is what has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest<'a> {
    /// The parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// The tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The expected tokens of the answer.
    pub answer_tokens: u32,
    /// The most leading tokens that some engine is believed to keep.
    pub cached_elsewhere: u32,
    /// The tokens that an engine copies from another one's memory in a millisecond; 0 where it can't.
    pub copied_per_ms: f64,
    /// How fast the engines are.
    pub model: EngineLatencyModel,
    /// The prompt tokens that other nodes have sent to all engines and that are not in the views yet.
    pub unseen_tokens: f64,
}

/// An `EngineChoice` is a chosen engine with what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub key: WorkerKey,
    /// The prompt tokens that it has to read.
    pub prefill_tokens: u32,
    /// The leading tokens that it keeps by this node's record.
    pub cached: u32,
    /// The prompt tokens that it copies from another engine.
    pub copied: u32,
    /// The time until it begins to read them.
    pub wait: Duration,
    /// The time until the first token.
    pub first_token: Duration,
}

/// Chooses the engine whose first token is expected first, all things counted; none without one.
///
/// Where many nodes see the same loads a moment late, all would choose the engine that looks best, and
/// each would find the others' requests before its own. So a node assumes that what it can't see yet
/// fills up the engines that look best, and chooses among these by how much of it each has room for. Only
/// engines that keep as much of the prompt as the best one are chosen from.
pub fn choose_engine(
    req: EngineRequest<'_>,
    engines: &[EngineView],
    random: &mut dyn Rng,
) -> Option<EngineChoice> {
    let homes = homes(req.parts, engines);
    let trusted = engines.iter().any(|engine| !engine.circuit_open);
    let mut rated: Vec<Rated> = Vec::new();
    for engine in engines {
        if engine.circuit_open && trusted {
            continue;
        }
        let expected = expect(req, engine, homes.contains(&Some(engine.key)));
        let score = score(req, engine, &expected) + random.random_range(0.0..JITTER_MS);
        rated.push(Rated { score, expected });
    }
    rated.sort_by(|one, other| one.score.total_cmp(&other.score));
    let engines = rated.len();
    // Elsewhere more of the prompt would be read or copied, which costs more than a queue that may not be.
    let work = rated.first()?.work();
    rated.retain(|rated| rated.work() <= work);
    let unseen_ms = req.model.prefill_ms(req.unseen_tokens) * rated.len() as f64 / engines as f64;
    let level = filled_to(&rated, unseen_ms);
    let mut left = random.random_range(0.0..1.0) * unseen_ms;
    for Rated { score, expected } in &rated {
        left -= level - score;
        if left <= 0.0 {
            return Some(*expected);
        }
    }
    rated.first().map(|first| first.expected)
}

/// An engine with what is expected of it, and how much of a time, in milliseconds, that counts as.
struct Rated {
    score: f64,
    expected: EngineChoice,
}

impl Rated {
    /// The tokens of the prompt that are read or copied there.
    fn work(&self) -> u32 {
        self.expected.prefill_tokens + self.expected.copied
    }
}

// The score up to which `amount` fills up the engines that look best.
fn filled_to(rated: &[Rated], amount: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = f64::NEG_INFINITY;
    for (at, Rated { score, .. }) in rated.iter().enumerate() {
        if level <= *score && 0 < at {
            break;
        }
        sum += score;
        level = (amount + sum) / (at + 1) as f64;
    }
    level
}

fn expect(req: EngineRequest<'_>, engine: &EngineView, home: bool) -> EngineChoice {
    let shared: u32 = req.parts.iter().map(|part| part.tokens).sum();
    let guessed =
        if home { (f64::from(shared.min(req.prompt_tokens)) * HOME_SHARE) as u32 } else { 0 };
    let own = engine.cached.max(guessed);
    let copied = copied(req, own);
    let to_read = req.prompt_tokens.saturating_sub(own + copied);
    let needed = u64::from(req.prompt_tokens) + u64::from(req.answer_tokens);
    let room = (engine.memory as f64 * MEMORY_SHARE) as u64;
    // Beyond its memory an engine puts the newest requests aside and reads them again.
    let over = (engine.held_tokens + needed).saturating_sub(room).min(needed + room);
    let full = engine.requests.saturating_sub(engine.slots);
    // Beyond its batch one place comes free for each answer that ends.
    let places = req.model.decode_work_ms(f64::from(req.answer_tokens), f64::from(engine.slots));
    let reading = req.model.prefill_ms(engine.waiting_tokens as f64 + over as f64);
    let wait = (reading + f64::from(full) * places) * engine.slowness;
    let copying =
        if 0 < copied { COPY_SETUP_MS + f64::from(copied) / req.copied_per_ms } else { 0.0 };
    let read = req.model.first.at(f64::from(to_read)) * engine.slowness;
    EngineChoice {
        key: engine.key,
        prefill_tokens: to_read,
        cached: engine.cached,
        copied,
        wait: Duration::from_secs_f64(wait / 1_000.0),
        first_token: Duration::from_secs_f64((wait + copying + read) / 1_000.0),
    }
}

// What another engine keeps is copied in an eighth of the time that reading takes, or less.
fn copied(req: EngineRequest<'_>, own: u32) -> u32 {
    let copied = req.cached_elsewhere.min(req.prompt_tokens).saturating_sub(own);
    if 0.0 < req.copied_per_ms && MIN_COPIED_TOKENS <= copied { copied } else { 0 }
}

fn score(req: EngineRequest<'_>, engine: &EngineView, expected: &EngineChoice) -> f64 {
    let first = expected.first_token.as_secs_f64() * 1_000.0;
    let filled = f64::from(engine.requests) / f64::from(engine.slots.max(1));
    let delay = req.model.prefill_ms(f64::from(expected.prefill_tokens)) * filled * DELAY_WEIGHT;
    let slower = req.model.gap.slope * CROWDED_EVENTS;
    let slower = slower + req.model.crowding_ms(f64::from(req.answer_tokens)) * CROWDED_ANSWER;
    let crowding = f64::from(engine.requests) * slower;
    let way = engine.network_latency.as_secs_f64() * 2_000.0;
    let moved = req.model.prefill_ms(f64::from(expected.copied)) * COPY_WEIGHT;
    first + delay + moved + crowding + way + engine.failure_rate * FAILING_MS
}

// All nodes work out the same homes, so prompts that begin alike meet without a message.
fn homes(parts: &[PromptPart], engines: &[EngineView]) -> [Option<WorkerKey>; HOMES] {
    let mut homes = [None; HOMES];
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
