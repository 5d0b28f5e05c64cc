//! The estimation of the latency model of engines.

use std::time::Duration;

use crate::observed::{EngineLatencyModel, LineFit, RecentSamples};

/// The prompt tokens at the lower prior point of the line for first tokens: a short question.
const PREFILL_UNIT: f64 = 250.0;
/// The running requests at the lower prior point of the line for gaps: an engine that is almost
/// idle.
const RUNNING_UNIT: f64 = 2.0;
/// The number of streams from which the tokens per event are estimated.
const STREAMS: usize = 64;
/// The number of samples between updates of the model.
const UPDATE_INTERVAL: u64 = 8;
/// The minimum number of samples for a node to use its own model rather than a received one.
const MIN_OWN_SAMPLES: u64 = 24;

/// A `FirstTokenSample` is the time to first token of a request without a queue before it.
#[derive(Clone, Copy, Debug)]
pub struct FirstTokenSample {
    /// The prompt tokens that the engine computed.
    pub prefill_tokens: u32,
    /// The time since the request was sent.
    pub took: Duration,
}

/// A `StreamSample` is a complete stream from one engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamSample {
    /// The number of requests that ran on the engine.
    pub running: u32,
    /// The median time between two events. Prompts computed in between lengthen some gaps, but that
    /// time already counts as prompt computation.
    pub gap: Duration,
    /// The number of events.
    pub events: u32,
    /// The expected number of tokens.
    pub expected_tokens: u32,
}

/// An `EngineLatencyEstimator` learns the latency model of the engines of one service from their
/// answers.
#[derive(Clone, Debug)]
pub struct EngineLatencyEstimator {
    first: LineFit,
    gap: LineFit,
    event_tokens: RecentSamples<STREAMS>,
    own: EngineLatencyModel,
    updated_at_sample: u64,
    received: Option<EngineLatencyModel>,
}

impl Default for EngineLatencyEstimator {
    fn default() -> Self {
        let prior = EngineLatencyModel::default();
        EngineLatencyEstimator {
            first: LineFit::new(PREFILL_UNIT, prior.first),
            gap: LineFit::new(RUNNING_UNIT, prior.gap),
            event_tokens: RecentSamples::default(),
            own: prior,
            updated_at_sample: 0,
            received: None,
        }
    }
}

impl EngineLatencyEstimator {
    /// Records a first token.
    pub fn note_first_token(&mut self, sample: FirstTokenSample) {
        self.first.note(f64::from(sample.prefill_tokens), sample.took.as_secs_f64() * 1_000.0);
        self.update_model();
    }

    /// Records a stream that completed successfully.
    pub fn note_stream(&mut self, sample: StreamSample) {
        self.gap.note(f64::from(sample.running.max(1)), sample.gap.as_secs_f64() * 1_000.0);
        // An answer has a token at least, whatever its caller expected.
        let tokens = f64::from(sample.expected_tokens.max(1));
        self.event_tokens.note(tokens / f64::from(sample.events.max(1)));
        self.update_model();
    }

    /// Receives the model of another node, which is used while this node has too few samples.
    pub fn receive(&mut self, model: EngineLatencyModel) {
        if MIN_OWN_SAMPLES <= model.samples && model.is_plausible() {
            self.received = Some(model);
        }
    }

    /// Returns the current model.
    pub fn model(&self) -> EngineLatencyModel {
        match self.received {
            Some(received) if self.own.samples < MIN_OWN_SAMPLES => received,
            _ => self.own,
        }
    }

    /// Returns the model from this node's own samples, for other nodes; none before there are
    /// enough.
    pub fn own_model(&self) -> Option<EngineLatencyModel> {
        (MIN_OWN_SAMPLES <= self.own.samples).then_some(self.own)
    }

    fn update_model(&mut self) {
        let samples = self.first.total() + self.gap.total();
        if samples < self.updated_at_sample + UPDATE_INTERVAL {
            return;
        }
        self.updated_at_sample = samples;
        let prior = EngineLatencyModel::default();
        self.own = EngineLatencyModel {
            first: self.first.line(),
            gap: self.gap.line(),
            event_tokens: self.event_tokens.median().unwrap_or(prior.event_tokens),
            // Both kinds are needed: the prefill speed of an engine says nothing about its decoding
            // speed.
            samples: self.first.total().min(self.gap.total()) * 2,
        };
    }
}
