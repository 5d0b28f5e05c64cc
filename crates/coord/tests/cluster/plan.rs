//! The faults of one schedule, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A `Plan` is the set of faults of one schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub loss: f64,
    pub duplication: f64,
    pub delay: f64,
    pub disruptions: Vec<Disruption>,
    pub spacing: Spacing,
    pub mutant: Option<Mutant>,
}

/// A `Spacing` tells whether disruptions occur one at a time or may overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    Apart,
    Together,
}

/// A `Disruption` affects one node at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disruption {
    pub at: Duration,
    pub node: usize,
    pub kind: DisruptionKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisruptionKind {
    Crash,
    Pause(Duration),
    Leave,
}

/// A `Mutant` is an injected fault that a check has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Tokens are shown to readers before the holder has them.
    ReleasesEarly,
    /// Readers continue at another node without comparing what they have received.
    SkipsPrefixCheck,
    /// A holder does not take over when its owner dies.
    NeverTakesOver,
    /// A holder acknowledges a copy but drops it.
    DropsCopies,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let spacing = if random.random_bool(0.5) { Spacing::Apart } else { Spacing::Together };
        let count = random.random_range(0..4);
        let mut disruptions = Vec::new();
        let mut at = Duration::ZERO;
        for _ in 0..count {
            at = match spacing {
                Spacing::Apart => at + Duration::from_millis(random.random_range(0..1_000)),
                Spacing::Together => Duration::from_millis(random.random_range(0..1_500)),
            };
            let pause = Duration::from_millis(random.random_range(50..3_000));
            let kind = match random.random_range(0..3) {
                0 => DisruptionKind::Crash,
                1 => DisruptionKind::Pause(pause),
                _ => DisruptionKind::Leave,
            };
            // The first node accepts the request, so it is disrupted most often.
            let node = if random.random_bool(0.6) { 0 } else { random.random_range(1..4) };
            disruptions.push(Disruption { at, node, kind });
            at += pause + Duration::from_secs(7);
        }
        let share = |random: &mut Pcg64Mcg| [0.0, 0.02, 0.1][random.random_range(0..3)];
        Plan {
            seed,
            nodes: 4,
            loss: share(&mut random),
            duplication: share(&mut random),
            delay: share(&mut random),
            disruptions,
            spacing,
            mutant: None,
        }
    }
}
