//! Estimation of the latency model for engines of different speeds and under different loads.

use std::time::Duration;

use bulrushhall_policy::observed::{
    EngineLatencyEstimator, EngineLatencyModel, FirstTokenSample, StreamSample,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// The true speed of a simulated engine.
#[derive(Clone, Copy)]
struct Engine {
    prefill_tokens_per_ms: f64,
    step_ms: f64,
    step_ms_per_request: f64,
    event_tokens: f64,
}

/// The probability and the maximum factor of random delays.
#[derive(Clone, Copy)]
struct Load {
    delay_probability: f64,
    max_delay_factor: f64,
}

const TYPICAL: Engine = Engine {
    prefill_tokens_per_ms: 60.0,
    step_ms: 4.0,
    step_ms_per_request: 0.1,
    event_tokens: 4.0,
};
const CALM: Load = Load { delay_probability: 0.1, max_delay_factor: 1.5 };
const BURST: Load = Load { delay_probability: 0.45, max_delay_factor: 3.0 };

impl Engine {
    fn times(self, factor: f64) -> Engine {
        Engine {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms * factor,
            step_ms: self.step_ms / factor,
            step_ms_per_request: self.step_ms_per_request / factor,
            ..self
        }
    }

    fn work_ms(self, prefill: f64, answer: f64, batch: f64) -> f64 {
        prefill / self.prefill_tokens_per_ms
            + answer * (self.step_ms / batch + self.step_ms_per_request)
    }

    fn learn(
        self,
        estimator: &mut EngineLatencyEstimator,
        samples: u32,
        load: Load,
        random: &mut Pcg64,
    ) {
        let delay_factor = |random: &mut Pcg64| {
            let is_delayed = random.random_bool(load.delay_probability);
            if is_delayed { random.random_range(1.0..load.max_delay_factor) } else { 1.0 }
        };
        for _ in 0..samples / 2 {
            let prefill_tokens = random.random_range(200..14_000);
            let took = 30.0 + f64::from(prefill_tokens) / self.prefill_tokens_per_ms;
            let took = Duration::from_secs_f64(took * delay_factor(random) / 1_000.0);
            estimator.note_first_token(FirstTokenSample { prefill_tokens, took });
            let running = random.random_range(2..40);
            let gap =
                (self.step_ms + self.step_ms_per_request * f64::from(running)) * self.event_tokens;
            let gap = Duration::from_secs_f64(gap * delay_factor(random) / 1_000.0);
            let events = random.random_range(5..80);
            let hint_factor = random.random_range(0.6..1.6);
            let expected_tokens = (f64::from(events) * self.event_tokens * hint_factor) as u32;
            estimator.note_stream(StreamSample { running, gap, events, expected_tokens });
        }
    }
}

// Returns the ratio of estimated to true work.
fn ratio(model: &EngineLatencyModel, engine: Engine) -> f64 {
    let estimated = model.prefill_ms(8_000.0) + model.decode_work_ms(300.0, 32.0);
    estimated / engine.work_ms(8_000.0, 300.0, 32.0)
}

#[rstest]
fn learned_speed(
    #[values(0.4, 0.6, 0.85, 1.2, 1.7, 2.5)] factor: f64,
    #[values(CALM, BURST)] load: Load,
) {
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let engine = TYPICAL.times(factor);
        let mut estimator = EngineLatencyEstimator::default();
        engine.learn(&mut estimator, 20, load, &mut random);
        let early = ratio(&estimator.model(), engine);
        assert!((0.5..2.0).contains(&early), "ratio {early} after 20 samples, seed {seed}");
        engine.learn(&mut estimator, 180, load, &mut random);
        let late = ratio(&estimator.model(), engine);
        assert!((0.85..1.15).contains(&late), "ratio {late} after 200 samples, seed {seed}");
    }
}

// All engines of a service become slow at once, for example because their hosts are throttled.
// Until the estimate follows, the fleet plan has too few engines. A node gets about fifty samples
// per second.
#[test]
fn sudden_change() {
    let mut random = Pcg64::seed_from_u64(5);
    let mut estimator = EngineLatencyEstimator::default();
    TYPICAL.learn(&mut estimator, 400, CALM, &mut random);
    let slow = TYPICAL.times(0.5);
    slow.learn(&mut estimator, 150, CALM, &mut random);
    let late = ratio(&estimator.model(), slow);
    assert!((0.85..1.15).contains(&late), "ratio {late} within three seconds");
}

// One engine of ten is five times slower than the others. The estimate for the service must not
// follow it, or the fleet would be doubled.
#[test]
fn one_slow_engine() {
    let mut random = Pcg64::seed_from_u64(6);
    let mut estimator = EngineLatencyEstimator::default();
    for _ in 0..100 {
        TYPICAL.learn(&mut estimator, 18, CALM, &mut random);
        TYPICAL.times(0.2).learn(&mut estimator, 2, CALM, &mut random);
    }
    let late = ratio(&estimator.model(), TYPICAL);
    assert!((0.85..1.15).contains(&late), "ratio {late}");
}

// A node joins nodes that have served for a long time. It must use their model until it has enough
// samples itself, rather than size the fleet by the prior.
#[test]
fn received_model() {
    let mut random = Pcg64::seed_from_u64(7);
    let mut known = EngineLatencyEstimator::default();
    TYPICAL.times(2.0).learn(&mut known, 200, CALM, &mut random);
    let mut started = EngineLatencyEstimator::default();
    assert_eq!(started.model(), EngineLatencyModel::default());
    assert_eq!(started.own_model(), None);
    started.receive(known.own_model().expect("enough samples"));
    assert_eq!(started.model(), known.model());
    TYPICAL.learn(&mut started, 200, CALM, &mut random);
    let own = ratio(&started.model(), TYPICAL);
    assert!((0.85..1.15).contains(&own), "ratio {own} with its own samples");
}

// Durations of zero, for example from a stopped clock, must not cause a panic or spoil the model.
#[test]
fn zero_durations() {
    let mut estimator = EngineLatencyEstimator::default();
    for _ in 0..100 {
        estimator.note_first_token(FirstTokenSample { prefill_tokens: 0, took: Duration::ZERO });
        let stream =
            StreamSample { running: 0, gap: Duration::ZERO, events: 0, expected_tokens: 0 };
        estimator.note_stream(stream);
    }
    let model = estimator.model();
    assert!(model.prefill_ms(1_000.0).is_finite() && model.decode_work_ms(100.0, 32.0).is_finite());
}
