//! What is learnt of engines of several speeds, under the loads that callers bring.

use std::time::Duration;

use bulrushhall_policy::observed::{
    EngineLatencyEstimator, EngineLatencyModel, FirstTokenSample, StreamSample,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// An engine as callers meet it.
#[derive(Clone, Copy)]
struct Engine {
    prefill_tokens_per_ms: f64,
    step_ms: f64,
    step_ms_more: f64,
    event_tokens: f64,
}

/// How often and by how much a time is lengthened by what nobody foresaw.
#[derive(Clone, Copy)]
struct Load {
    disturbed: f64,
    lengthened: f64,
}

const USUAL: Engine =
    Engine { prefill_tokens_per_ms: 60.0, step_ms: 4.0, step_ms_more: 0.1, event_tokens: 4.0 };
const CALM: Load = Load { disturbed: 0.1, lengthened: 1.5 };
const BURST: Load = Load { disturbed: 0.45, lengthened: 3.0 };

impl Engine {
    fn times(self, factor: f64) -> Engine {
        Engine {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms * factor,
            step_ms: self.step_ms / factor,
            step_ms_more: self.step_ms_more / factor,
            ..self
        }
    }

    fn work_ms(self, read: f64, answer: f64, batch: f64) -> f64 {
        read / self.prefill_tokens_per_ms + answer * (self.step_ms / batch + self.step_ms_more)
    }

    fn learn(
        self,
        speed: &mut EngineLatencyEstimator,
        samples: u32,
        load: Load,
        random: &mut Pcg64,
    ) {
        let late = |random: &mut Pcg64| {
            let disturbed = random.random_bool(load.disturbed);
            if disturbed { random.random_range(1.0..load.lengthened) } else { 1.0 }
        };
        for _ in 0..samples / 2 {
            let to_read = random.random_range(200..14_000);
            let took = 30.0 + f64::from(to_read) / self.prefill_tokens_per_ms;
            let took = Duration::from_secs_f64(took * late(random) / 1_000.0);
            speed.note_first_token(FirstTokenSample { prefill_tokens: to_read, took });
            let running = random.random_range(2..40);
            let gap = (self.step_ms + self.step_ms_more * f64::from(running)) * self.event_tokens;
            let gap = Duration::from_secs_f64(gap * late(random) / 1_000.0);
            let events = random.random_range(5..80);
            let hinted = random.random_range(0.6..1.6);
            let expected_tokens = (f64::from(events) * self.event_tokens * hinted) as u32;
            speed.note_stream(StreamSample { running, gap, events, expected_tokens });
        }
    }
}

fn off(pace: &EngineLatencyModel, engine: Engine) -> f64 {
    let learnt = pace.prefill_ms(8_000.0) + pace.decode_work_ms(300.0, 32.0);
    learnt / engine.work_ms(8_000.0, 300.0, 32.0)
}

#[rstest]
fn learnt_speed(
    #[values(0.4, 0.6, 0.85, 1.2, 1.7, 2.5)] factor: f64,
    #[values(CALM, BURST)] load: Load,
) {
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let engine = USUAL.times(factor);
        let mut speed = EngineLatencyEstimator::default();
        engine.learn(&mut speed, 20, load, &mut random);
        let early = off(&speed.model(), engine);
        assert!((0.5..2.0).contains(&early), "{early} times after 20 samples, seed {seed}");
        engine.learn(&mut speed, 180, load, &mut random);
        let late = off(&speed.model(), engine);
        assert!((0.85..1.15).contains(&late), "{late} times after 200 samples, seed {seed}");
    }
}

// All engines of a service turn slow at once, as when their hosts are throttled. Until it is noticed the
// plan has too few of them. A node sees some fifty samples a second.
#[test]
fn sudden_change() {
    let mut random = Pcg64::seed_from_u64(5);
    let mut speed = EngineLatencyEstimator::default();
    USUAL.learn(&mut speed, 400, CALM, &mut random);
    let slow = USUAL.times(0.5);
    slow.learn(&mut speed, 150, CALM, &mut random);
    let late = off(&speed.model(), slow);
    assert!((0.85..1.15).contains(&late), "{late} times within three seconds");
}

// One engine of ten is five times slower than the others. What is believed of the service must not
// follow it, or all others would be taken for slow and the fleet be doubled.
#[test]
fn one_slow() {
    let mut random = Pcg64::seed_from_u64(6);
    let mut speed = EngineLatencyEstimator::default();
    for _ in 0..100 {
        USUAL.learn(&mut speed, 18, CALM, &mut random);
        USUAL.times(0.2).learn(&mut speed, 2, CALM, &mut random);
    }
    let late = off(&speed.model(), USUAL);
    assert!((0.85..1.15).contains(&late), "{late} times");
}

// A node starts anew beside four that have served for long. It goes by what they learnt until it has
// seen enough itself, and does not order a fleet for engines that it does not know.
#[test]
fn told_speed() {
    let mut random = Pcg64::seed_from_u64(7);
    let mut known = EngineLatencyEstimator::default();
    USUAL.times(2.0).learn(&mut known, 200, CALM, &mut random);
    let mut started = EngineLatencyEstimator::default();
    assert_eq!(started.model(), EngineLatencyModel::default());
    assert_eq!(started.own_model(), None);
    started.receive(known.own_model().expect("enough samples"));
    assert_eq!(started.model(), known.model());
    USUAL.learn(&mut started, 200, CALM, &mut random);
    let own = off(&started.model(), USUAL);
    assert!((0.85..1.15).contains(&own), "{own} times by its own samples");
}

// Times that are none, as when a clock stands still, must not end the process or spoil what is known.
#[test]
fn no_time() {
    let mut speed = EngineLatencyEstimator::default();
    for _ in 0..100 {
        speed.note_first_token(FirstTokenSample { prefill_tokens: 0, took: Duration::ZERO });
        let stream =
            StreamSample { running: 0, gap: Duration::ZERO, events: 0, expected_tokens: 0 };
        speed.note_stream(stream);
    }
    let pace = speed.model();
    assert!(pace.prefill_ms(1_000.0).is_finite() && pace.decode_work_ms(100.0, 32.0).is_finite());
}
