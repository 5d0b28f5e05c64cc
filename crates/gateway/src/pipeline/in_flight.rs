//! Accounting of in-flight requests at a backend server, from the send to the end of the response.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    observed::{FirstTokenSample, StreamSample},
    placement::WorkerKey,
    prefix_homes::AssumedCache,
    rollout::{Track, TrackCounts},
    server_speed::PendingCall,
};

use crate::{clock, gateway::Gateway, pipeline::placement::Placement, rollouts::AnswerKey};

/// The shortest usual time of a sample: below it, the network and the node itself take most of the time.
const MIN_USUAL: Duration = Duration::from_millis(10);

/// A `Footprint` is the resources that a request uses at a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Its priority, 0 being the most urgent.
    pub rank: u8,
    /// The prompt tokens that the engine has to prefill.
    pub prefill_tokens: u32,
    /// The tokens that it occupies in the engine's KV cache.
    pub held: u32,
    /// The expected time to the first token, at an engine.
    pub expected: Option<Duration>,
    /// The time to the first token that an engine as fast as the service's model would need.
    pub usual: Duration,
    /// The weight of its first token as a sample of the engine's speed, from 0 to 1: less with a queue before it.
    pub speed_weight: f64,
    /// What its first token shows about a prefix that is assumed to be cached.
    pub assumed: Option<AssumedCache>,
    /// Whether it does not queue behind others and the number of tokens to prefill is known exactly.
    pub unqueued: bool,
}

/// An `InFlightGuard` counts a request as in flight at a backend server until it is dropped, whichever way
/// the request ends.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    footprint: Footprint,
    started: bool,
    failed: bool,
    /// Whether a successful response has begun: the speed of other ones says nothing.
    succeeded: bool,
    /// The call, at a plain service, until it is answered.
    pending: Option<PendingCall>,
    since: Stamp,
    expected: Duration,
    answer_key: Option<AnswerKey>,
    /// Whether the request is sent over a connection of this node.
    is_own: bool,
}

impl InFlightGuard {
    /// Counts a request that is about to be sent.
    pub fn begin(gateway: &Arc<Gateway>, placement: &Placement) -> InFlightGuard {
        let Placement { key, footprint, expected, .. } = *placement;
        let is_own = placement.carrier.is_none();
        let since = clock::now();
        let pending = gateway.with(|state| {
            let backend = state.backends.get_mut(key)?;
            backend.own.requests += 1;
            backend.own.waiting[usize::from(footprint.rank)] += footprint.prefill_tokens;
            backend.own.held += footprint.held;
            backend.sent.add(since, 1.0);
            if is_own {
                backend.room.begin();
            }
            footprint.expected.is_none().then(|| backend.speed.moment.begin(since))
        });
        let guard = InFlightGuard {
            gateway: Arc::clone(gateway),
            key,
            footprint,
            started: false,
            failed: false,
            succeeded: false,
            pending,
            since,
            expected,
            answer_key: placement.answer_key.clone(),
            is_own,
        };
        guard.count(|counts, is_bound| {
            counts.sent += 1;
            counts.bound.begun += u32::from(is_bound);
        });
        guard
    }

    /// Notes that a successful response has begun.
    pub fn note_success(&mut self) {
        self.succeeded = true;
    }

    /// Notes that no answer arrived, or one that reports a failure of the server.
    pub fn note_failed(&mut self) {
        if self.failed {
            return;
        }
        self.failed = true;
        let answers = u64::from(!self.started);
        self.count(|counts, _| {
            counts.answers += answers;
            counts.bad += 1;
        });
    }

    fn note_answer(&mut self, took: Duration) {
        if self.failed {
            return;
        }
        let Some(answer_key) = &self.answer_key else { return };
        let (expected, track) = (self.expected, answer_key.track());
        let service = answer_key.service();
        let is_slow = self.gateway.with(|state| {
            let is_slow = state.rollouts.is_slow(service, expected, took);
            if track == Track::Current {
                state.rollouts.note_usual(service, expected, took);
            }
            is_slow
        });
        // What is slow has been counted as bad, and is not counted again if it fails later.
        self.failed = is_slow;
        self.count(|counts, _| {
            counts.answers += 1;
            counts.bad += u64::from(is_slow);
        });
    }

    fn count(&self, change: impl FnOnce(&mut TrackCounts, bool)) {
        let Some(answer_key) = &self.answer_key else { return };
        let own = self.gateway.incarnation;
        let zone = &self.gateway.settings.gateway.zone;
        self.gateway.with(|state| {
            let is_bound = answer_key.is_bound();
            state.rollouts.count(own, zone, answer_key, |counts| change(counts, is_bound));
        });
    }

    /// Notes the first token, or the response of a plain service.
    pub fn note_started(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        let took = clock::now().since(self.since);
        self.note_answer(took);
        let Footprint { rank, prefill_tokens, expected, unqueued, .. } = self.footprint;
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            backend.own.waiting[usize::from(rank)] -= prefill_tokens;
            let Some(expected) = expected else { return };
            backend.note_first_token(expected, took);
            if !self.succeeded {
                return;
            }
            let service = backend.record.service.clone();
            let Footprint { usual, speed_weight, assumed, .. } = self.footprint;
            let ratio = took.as_secs_f64() / usual.max(MIN_USUAL).as_secs_f64();
            state.note_speed(self.key, &service, |backend, link| {
                backend.speed.first.note_over(link, now, ratio, speed_weight);
            });
            if let Some(assumed) = assumed {
                let took_ms = took.as_secs_f64() * 1_000.0;
                state.observed(&service).cached_share.note(assumed, took_ms);
            }
            if unqueued {
                let sample = FirstTokenSample { prefill_tokens, took };
                state.observed(&service).engines.note_first_token(sample);
            }
        });
    }

    /// Notes a complete stream whose events arrived `gap` apart.
    pub fn note_stream(&self, gap: Duration, events: u32, expected_tokens: u32) {
        let now = clock::now();
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            let (running, service) = (backend.requests(now), backend.record.service.clone());
            let usual = state.observed(&service).engines.model().gap.at(f64::from(running.max(1)));
            let ratio = gap.as_secs_f64() * 1_000.0 / usual.max(0.1);
            state.note_speed(self.key, &service, |backend, _| {
                backend.speed.pause.note(now, ratio, 1.0);
            });
            let sample = StreamSample { running, gap, events, expected_tokens };
            state.observed(&service).engines.note_stream(sample);
        });
    }

    /// Notes the response of a plain service.
    pub fn note_call(&mut self) {
        let now = clock::now();
        let took = now.since(self.since);
        let (usual, pending) = (self.expected.max(MIN_USUAL), self.pending.take());
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            let service = backend.record.service.clone();
            if let Some(call) = pending {
                let own = usual.mul_f64(backend.speed.call.factor());
                backend.speed.moment.answered(now, call, own);
            }
            let ratio = took.as_secs_f64() / usual.as_secs_f64();
            state.note_speed(self.key, &service, |backend, link| {
                backend.speed.call.note_over(link, now, ratio, 1.0);
            });
            state.observed(&service).calls.note(took);
        });
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count(|counts, is_bound| counts.bound.ended += u32::from(is_bound));
        let Footprint { rank, prefill_tokens, held, .. } = self.footprint;
        self.gateway.with(|state| {
            let Some(backend) = state.backends.get_mut(self.key) else { return };
            backend.own.requests -= 1;
            backend.own.held -= held;
            if let Some(call) = self.pending {
                backend.speed.moment.abandoned(call);
            }
            if self.is_own {
                backend.room.end();
            }
            if !self.started {
                backend.own.waiting[usize::from(rank)] -= prefill_tokens;
            }
        });
    }
}
