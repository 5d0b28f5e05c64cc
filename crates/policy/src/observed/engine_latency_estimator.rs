//! How the speed of a service's engines is learnt.

use std::time::Duration;

use crate::observed::{EngineLatencyModel, LineFit, RecentSamples};

/// The prompt tokens at the nearer point of the prior line of first tokens: a short question.
const READ_UNIT: f64 = 250.0;
/// The running requests at the nearer point of the prior line of gaps: an engine that is almost idle.
const RUNNING_UNIT: f64 = 2.0;
/// The ended streams from which the tokens of an event are told.
const STREAMS: usize = 64;
/// After how many samples the lines are drawn anew; between, the last ones hold.
const DRAWN_EACH: u64 = 8;
/// The samples from which a node goes by its own; below, by what another node learnt.
const OWN_LEAST: u64 = 24;

/// A `FirstTokenSample` is a first token from an engine with no queue before it.
#[derive(Clone, Copy, Debug)]
pub struct FirstTokenSample {
    /// The prompt tokens that were to be read.
    pub prefill_tokens: u32,
    /// The time from the send.
    pub took: Duration,
}

/// A `StreamSample` is a stream that one engine wrote from its first event to its end.
#[derive(Clone, Copy, Debug)]
pub struct StreamSample {
    /// The requests that ran there meanwhile.
    pub running: u32,
    /// The median time between two events: a prompt that is read in between stretches some gaps, and
    /// its time is counted as reading already.
    pub gap: Duration,
    /// The events.
    pub events: u32,
    /// The tokens that were expected.
    pub expected_tokens: u32,
}

/// An `EngineLatencyEstimator` learns the pace of one service's engines from their answers.
#[derive(Clone, Debug)]
pub struct EngineLatencyEstimator {
    first: LineFit,
    gap: LineFit,
    event_tokens: RecentSamples<STREAMS>,
    drawn: EngineLatencyModel,
    drawn_at: u64,
    told: Option<EngineLatencyModel>,
}

impl Default for EngineLatencyEstimator {
    fn default() -> Self {
        let prior = EngineLatencyModel::default();
        EngineLatencyEstimator {
            first: LineFit::new(READ_UNIT, prior.first),
            gap: LineFit::new(RUNNING_UNIT, prior.gap),
            event_tokens: RecentSamples::default(),
            drawn: prior,
            drawn_at: 0,
            told: None,
        }
    }
}

impl EngineLatencyEstimator {
    /// Takes in a first token.
    pub fn note_first_token(&mut self, sample: FirstTokenSample) {
        self.first.note(f64::from(sample.prefill_tokens), sample.took.as_secs_f64() * 1_000.0);
        self.draw();
    }

    /// Takes in a stream that ended well.
    pub fn note_stream(&mut self, sample: StreamSample) {
        self.gap.note(f64::from(sample.running.max(1)), sample.gap.as_secs_f64() * 1_000.0);
        self.event_tokens.note(f64::from(sample.expected_tokens) / f64::from(sample.events.max(1)));
        self.draw();
    }

    /// Takes in what another node learnt; a node that has just started goes by it.
    pub fn receive(&mut self, told: EngineLatencyModel) {
        if OWN_LEAST <= told.samples {
            self.told = Some(told);
        }
    }

    /// Returns the pace.
    pub fn model(&self) -> EngineLatencyModel {
        match self.told {
            Some(told) if self.drawn.samples < OWN_LEAST => told,
            _ => self.drawn,
        }
    }

    /// Returns what this node learnt itself, to be told to others; none before it saw enough.
    pub fn own_model(&self) -> Option<EngineLatencyModel> {
        (OWN_LEAST <= self.drawn.samples).then_some(self.drawn)
    }

    fn draw(&mut self) {
        let samples = self.first.seen() + self.gap.seen();
        if samples < self.drawn_at + DRAWN_EACH {
            return;
        }
        self.drawn_at = samples;
        let prior = EngineLatencyModel::default();
        self.drawn = EngineLatencyModel {
            first: self.first.line(),
            gap: self.gap.line(),
            event_tokens: self.event_tokens.median().unwrap_or(prior.event_tokens),
            // Both kinds are needed: an engine's reading tells nothing of its writing.
            samples: self.first.seen().min(self.gap.seen()) * 2,
        };
    }
}
