//! Continuous batching as a state machine: time and requests in, frames out.

use std::{cmp::Reverse, time::Duration};

use bulrushhall_core::{RequestId, Stamp};
use bulrushhall_external::engine::{EngineLoad, Frame, Generate, Usage};

use crate::engine::{
    EngineOptions, Writer,
    cache::{BLOCK_TOKENS, PrefixCache, block_hashes},
    text::words,
};

/// An `Output` is a frame of the answer to one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The frame.
    pub frame: Frame,
}

/// An `EngineModel` computes what a continuously batching engine would do and when.
#[derive(Clone, Debug)]
pub struct EngineModel {
    options: EngineOptions,
    cache: PrefixCache,
    jobs: Vec<Job>,
    arrivals: u64,
    step_ends: Option<Stamp>,
    computed_tokens: u64,
    recomputed_tokens: u64,
}

#[derive(Clone, Debug)]
struct Job {
    req: Generate,
    arrival: u64,
    in_batch: bool,
    writer: Writer,
    prompt_tokens: u32,
    /// Tokens of prompt and answer whose KV cache is not yet there.
    to_prefill: u32,
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
            step_ends: None,
            computed_tokens: 0,
            recomputed_tokens: 0,
        }
    }

    /// Takes a request in; an older attempt of the same request is dropped.
    pub fn submit(&mut self, now: Stamp, req: Generate) {
        self.cancel(req.request);
        let mut writer = Writer::new(&req.prompt, req.max_tokens);
        for token in &req.emitted {
            writer.take_up(token);
        }
        let prompt_tokens = count(words(&req.prompt).count());
        let emitted = count(req.emitted.len());
        let tokens = words(&req.prompt).chain(req.emitted.iter().map(String::as_str));
        let blocks = block_hashes(tokens);
        let usage = Usage { prompt_tokens, completion_tokens: emitted, ..Usage::default() };
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.jobs.push(Job {
            req,
            arrival,
            in_batch: false,
            writer,
            prompt_tokens,
            to_prefill: 0,
            usage,
            blocks,
        });
        if self.step_ends.is_none() {
            self.start_step(now);
        }
    }

    /// Drops a request; the tokens computed for it stay in the cache while there is room.
    pub fn cancel(&mut self, request: RequestId) {
        self.jobs.retain(|job| job.req.request != request);
    }

    /// Returns when the engine next has something to do.
    pub fn next_wake(&self) -> Option<Stamp> {
        self.step_ends
    }

    /// Carries out all steps that end at or before `now` and returns their frames in order.
    pub fn advance(&mut self, now: Stamp) -> Vec<Output> {
        let mut out = Vec::new();
        while let Some(end) = self.step_ends {
            if now < end {
                break;
            }
            self.end_step(&mut out);
            self.step_ends = None;
            self.start_step(end);
        }
        out
    }

    /// Returns the load at this moment.
    pub fn load(&self) -> EngineLoad {
        let running = self.jobs.iter().filter(|job| job.in_batch).count();
        let backlog = self.jobs.iter().map(|job| self.unfilled(job)).sum();
        EngineLoad {
            running: count(running),
            waiting: count(self.jobs.len() - running),
            prefill_backlog: backlog,
            cached_tokens: self.cache.tokens(),
            step_micros: micros(self.step_time(running, 0)),
        }
    }

    /// Returns the blocks computed for a request, empty when the engine doesn't know it.
    pub fn export(&self, request: RequestId) -> Vec<u64> {
        let Some(job) = self.jobs.iter().find(|job| job.req.request == request) else {
            return Vec::new();
        };
        let held = self.cache.leading(&job.blocks);
        job.blocks[..held].to_vec()
    }

    /// Takes blocks that another engine computed into the cache.
    pub fn import(&mut self, blocks: &[u64]) {
        self.cache.hold(blocks);
    }

    /// Returns the tokens computed so far and how many of them were computed anew for a resume.
    pub fn totals(&self) -> (u64, u64) {
        (self.computed_tokens, self.recomputed_tokens)
    }

    /// Takes out the changes of the cache since the last call.
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
            self.jobs.iter().filter(|job| job.in_batch).map(|job| job.to_prefill).sum();
        let chunk = backlog.min(self.options.prefill_chunk);
        self.step_ends = Some(now + self.step_time(running, chunk));
    }

    // The most urgent answers hold the places of the batch; one that loses its place to a more
    // urgent one keeps what the cache still has of it.
    fn fill_batch(&mut self) {
        self.jobs.sort_by_key(|job| (job.req.priority, Reverse(job.in_batch), job.arrival));
        for at in 0..self.jobs.len() {
            let place = at < self.options.batch;
            if place == self.jobs[at].in_batch {
                continue;
            }
            if place {
                self.admit(at);
            }
            self.jobs[at].in_batch = place;
        }
    }

    fn admit(&mut self, at: usize) {
        let resumed = 0 < self.jobs[at].req.attempt || 0 < self.jobs[at].usage.cached_tokens;
        let unfilled = self.unfilled(&self.jobs[at]);
        let job = &mut self.jobs[at];
        job.to_prefill = unfilled;
        job.usage.cached_tokens = job.prompt_tokens + job.usage.completion_tokens - unfilled;
        if resumed {
            job.usage.recomputed_tokens += unfilled;
            self.recomputed_tokens += u64::from(unfilled);
        }
    }

    fn unfilled(&self, job: &Job) -> u32 {
        if job.in_batch {
            return job.to_prefill;
        }
        let held = count(self.cache.leading(&job.blocks) * BLOCK_TOKENS);
        (job.prompt_tokens + job.usage.completion_tokens).saturating_sub(held)
    }

    fn end_step(&mut self, out: &mut Vec<Output>) {
        let mut chunk = self.options.prefill_chunk;
        for at in 0..self.jobs.len() {
            if !self.jobs[at].in_batch {
                continue;
            }
            if 0 < self.jobs[at].to_prefill {
                let computed = self.jobs[at].to_prefill.min(chunk);
                self.jobs[at].to_prefill -= computed;
                chunk -= computed;
                self.computed_tokens += u64::from(computed);
                if 0 < self.jobs[at].to_prefill {
                    continue;
                }
                self.cache.hold(&self.jobs[at].blocks);
            }
            self.write_token(at, out);
        }
        self.jobs.retain(|job| job.writer.written() < job.writer.length());
    }

    fn write_token(&mut self, at: usize, out: &mut Vec<Output>) {
        let job = &mut self.jobs[at];
        let (request, attempt) = (job.req.request, job.req.attempt);
        if let Some(token) = job.writer.next() {
            self.computed_tokens += 1;
            job.usage.completion_tokens += 1;
            job.req.emitted.push(token.clone());
            out.push(Output { request, attempt, frame: Frame::Token(token) });
            let tokens = job.prompt_tokens + job.usage.completion_tokens;
            if (tokens as usize).is_multiple_of(BLOCK_TOKENS) {
                let job = &mut self.jobs[at];
                let row = words(&job.req.prompt).chain(job.req.emitted.iter().map(String::as_str));
                job.blocks = block_hashes(row);
                self.cache.hold(&self.jobs[at].blocks);
            }
        }
        let job = &mut self.jobs[at];
        if job.writer.written() < job.writer.length() {
            return;
        }
        job.usage.truncated = job.writer.written() == job.req.max_tokens;
        out.push(Output { request, attempt, frame: Frame::Done(job.usage) });
    }

    fn step_time(&self, running: usize, prefill: u32) -> Duration {
        let prefill = Duration::from_secs(1) * prefill / self.options.prefill_per_second.max(1);
        self.options.step_base + self.options.step_per_answer * count(running) + prefill
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
