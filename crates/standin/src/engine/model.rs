//! Continuous batching as a state machine that turns requests and time into frames.

use std::{cmp::Reverse, time::Duration};

use bulrushhall_core::{RequestId, Stamp};
use bulrushhall_external::engine::{EngineLoad, Frame, Generate, Usage};

use crate::engine::{
    EngineOptions, TokenGenerator,
    cache::{BLOCK_TOKENS, PrefixCache, block_hashes},
    text::words,
};

/// An `Output` is a frame of the response to one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The frame.
    pub frame: Frame,
}

/// An `EngineModel` simulates which frames an engine with continuous batching emits, and when.
#[derive(Clone, Debug)]
pub struct EngineModel {
    options: EngineOptions,
    cache: PrefixCache,
    jobs: Vec<Job>,
    arrivals: u64,
    step_end: Option<Stamp>,
    computed_tokens: u64,
    recomputed_tokens: u64,
}

#[derive(Clone, Debug)]
struct Job {
    req: Generate,
    arrival: u64,
    in_batch: bool,
    generator: TokenGenerator,
    prompt_tokens: u32,
    /// The tokens of prompt and response that are not in the KV cache yet.
    prefill_tokens: u32,
    usage: Usage,
    blocks: Vec<u64>,
}

impl EngineModel {
    /// Returns an idle engine with an empty cache.
    pub fn new(options: EngineOptions) -> EngineModel {
        let cache = PrefixCache::new(options.cache_tokens);
        EngineModel {
            options,
            cache,
            jobs: Vec::new(),
            arrivals: 0,
            step_end: None,
            computed_tokens: 0,
            recomputed_tokens: 0,
        }
    }

    /// Adds a request; an older attempt of the same request is dropped.
    pub fn submit(&mut self, now: Stamp, req: Generate) {
        self.cancel(req.request);
        let mut generator = TokenGenerator::new(&req.prompt, req.max_tokens);
        for token in &req.emitted {
            generator.append(token);
        }
        let prompt_tokens = to_u32(words(&req.prompt).count());
        let emitted = to_u32(req.emitted.len());
        let tokens = words(&req.prompt).chain(req.emitted.iter().map(String::as_str));
        let blocks = block_hashes(tokens);
        let usage = Usage { prompt_tokens, completion_tokens: emitted, ..Usage::default() };
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.jobs.push(Job {
            req,
            arrival,
            in_batch: false,
            generator,
            prompt_tokens,
            prefill_tokens: 0,
            usage,
            blocks,
        });
        if self.step_end.is_none() {
            self.start_step(now);
        }
    }

    /// Drops a request; its computed tokens stay in the cache until they are evicted.
    pub fn cancel(&mut self, request: RequestId) {
        self.jobs.retain(|job| job.req.request != request);
    }

    /// Returns the time when the current step ends; `None` if the engine is idle.
    pub fn next_wake(&self) -> Option<Stamp> {
        self.step_end
    }

    /// Runs all steps that end at or before `now` and returns their frames in order.
    pub fn advance(&mut self, now: Stamp) -> Vec<Output> {
        let mut out = Vec::new();
        while let Some(end) = self.step_end {
            if now < end {
                break;
            }
            self.finish_step(&mut out);
            self.step_end = None;
            self.start_step(end);
        }
        out
    }

    /// Returns the current load.
    pub fn load(&self) -> EngineLoad {
        let running = self.jobs.iter().filter(|job| job.in_batch).count();
        let backlog = self.jobs.iter().map(|job| self.remaining_prefill(job)).sum();
        EngineLoad {
            running: to_u32(running),
            waiting: to_u32(self.jobs.len() - running),
            prefill_backlog: backlog,
            cached_tokens: self.cache.tokens(),
            step_micros: micros(self.step_time(running, 0)),
        }
    }

    /// Returns the cached blocks of a request; empty if the engine does not know the request.
    pub fn export(&self, request: RequestId) -> Vec<u64> {
        let Some(job) = self.jobs.iter().find(|job| job.req.request == request) else {
            return Vec::new();
        };
        let cached = self.cache.cached_prefix_len(&job.blocks);
        job.blocks[..cached].to_vec()
    }

    /// Adds blocks that another engine computed to the cache.
    pub fn import(&mut self, blocks: &[u64]) {
        self.cache.insert(blocks);
    }

    /// Returns how many tokens were computed so far, and how many were recomputed for a resume.
    pub fn totals(&self) -> (u64, u64) {
        (self.computed_tokens, self.recomputed_tokens)
    }

    /// Returns the changes of the cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<(u64, bool)> {
        self.cache.take_changes()
    }

    fn start_step(&mut self, now: Stamp) {
        self.fill_batch();
        let running = self.jobs.iter().filter(|job| job.in_batch).count();
        if running == 0 {
            return;
        }
        let backlog: u32 =
            self.jobs.iter().filter(|job| job.in_batch).map(|job| job.prefill_tokens).sum();
        let chunk = backlog.min(self.options.prefill_chunk);
        self.step_end = Some(now + self.step_time(running, chunk));
    }

    // Fills the batch with the most urgent requests. A request that is preempted by a more urgent
    // one resumes from the blocks that are still in the cache.
    fn fill_batch(&mut self) {
        self.jobs.sort_by_key(|job| (job.req.priority, Reverse(job.in_batch), job.arrival));
        for at in 0..self.jobs.len() {
            let selected = at < self.options.batch;
            if selected == self.jobs[at].in_batch {
                continue;
            }
            if selected {
                self.admit(at);
            }
            self.jobs[at].in_batch = selected;
        }
    }

    fn admit(&mut self, at: usize) {
        let resumed = 0 < self.jobs[at].req.attempt || 0 < self.jobs[at].usage.cached_tokens;
        let remaining = self.remaining_prefill(&self.jobs[at]);
        let job = &mut self.jobs[at];
        job.prefill_tokens = remaining;
        job.usage.cached_tokens = job.prompt_tokens + job.usage.completion_tokens - remaining;
        if resumed {
            job.usage.recomputed_tokens += remaining;
            self.recomputed_tokens += u64::from(remaining);
        }
    }

    fn remaining_prefill(&self, job: &Job) -> u32 {
        if job.in_batch {
            return job.prefill_tokens;
        }
        let cached = to_u32(self.cache.cached_prefix_len(&job.blocks) * BLOCK_TOKENS);
        (job.prompt_tokens + job.usage.completion_tokens).saturating_sub(cached)
    }

    fn finish_step(&mut self, out: &mut Vec<Output>) {
        let mut chunk = self.options.prefill_chunk;
        for at in 0..self.jobs.len() {
            if !self.jobs[at].in_batch {
                continue;
            }
            if 0 < self.jobs[at].prefill_tokens {
                let computed = self.jobs[at].prefill_tokens.min(chunk);
                self.jobs[at].prefill_tokens -= computed;
                chunk -= computed;
                self.computed_tokens += u64::from(computed);
                if 0 < self.jobs[at].prefill_tokens {
                    continue;
                }
                self.cache.insert(&self.jobs[at].blocks);
            }
            self.emit_token(at, out);
        }
        self.jobs.retain(|job| job.generator.generated() < job.generator.length());
    }

    fn emit_token(&mut self, at: usize, out: &mut Vec<Output>) {
        let job = &mut self.jobs[at];
        let (request, attempt) = (job.req.request, job.req.attempt);
        if let Some(token) = job.generator.next() {
            self.computed_tokens += 1;
            job.usage.completion_tokens += 1;
            job.req.emitted.push(token.clone());
            out.push(Output { request, attempt, frame: Frame::Token(token) });
            let tokens = job.prompt_tokens + job.usage.completion_tokens;
            if (tokens as usize).is_multiple_of(BLOCK_TOKENS) {
                let job = &mut self.jobs[at];
                let all_tokens =
                    words(&job.req.prompt).chain(job.req.emitted.iter().map(String::as_str));
                job.blocks = block_hashes(all_tokens);
                self.cache.insert(&self.jobs[at].blocks);
            }
        }
        let job = &mut self.jobs[at];
        if job.generator.generated() < job.generator.length() {
            return;
        }
        job.usage.truncated = job.generator.generated() == job.req.max_tokens;
        out.push(Output { request, attempt, frame: Frame::Done(job.usage) });
    }

    fn step_time(&self, running: usize, prefill: u32) -> Duration {
        let prefill = Duration::from_secs(1) * prefill / self.options.prefill_per_second.max(1);
        self.options.step_base + self.options.step_per_answer * to_u32(running) + prefill
    }
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
