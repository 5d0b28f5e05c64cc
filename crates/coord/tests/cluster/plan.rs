//! What goes wrong in one schedule, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A `Plan` is what goes wrong in one schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    pub troubles: Vec<Trouble>,
    pub spaced: Spacing,
    pub mutant: Option<Mutant>,
}

/// Whether troubles come one after the other or together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    Apart,
    Together,
}

/// A `Trouble` happens to one node at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    pub at: Duration,
    pub node: usize,
    pub kind: TroubleKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    Crash,
    Pause(Duration),
    Leave,
}

/// A `Mutant` is a planted fault that a checker has to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Tokens are shown to readers before the holder has them.
    ShowsEarly,
    /// Readers go on at another node without showing what they saw.
    ReadsBlindly,
    /// A holder does nothing when its owner dies.
    NeverTakesOver,
    /// A holder acknowledges a copy and does not keep it.
    ForgetsCopies,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let spaced = if random.random_bool(0.5) { Spacing::Apart } else { Spacing::Together };
        let count = random.random_range(0..4);
        let mut troubles = Vec::new();
        let mut at = Duration::ZERO;
        for _ in 0..count {
            at = match spaced {
                Spacing::Apart => at + Duration::from_millis(random.random_range(0..1_000)),
                Spacing::Together => Duration::from_millis(random.random_range(0..1_500)),
            };
            let pause = Duration::from_millis(random.random_range(50..3_000));
            let kind = match random.random_range(0..3) {
                0 => TroubleKind::Crash,
                1 => TroubleKind::Pause(pause),
                _ => TroubleKind::Leave,
            };
            // The first node accepts the request; it is the likeliest to be in trouble.
            let node = if random.random_bool(0.6) { 0 } else { random.random_range(1..4) };
            troubles.push(Trouble { at, node, kind });
            at += pause + Duration::from_secs(7);
        }
        let share = |random: &mut Pcg64Mcg| [0.0, 0.02, 0.1][random.random_range(0..3)];
        Plan {
            seed,
            nodes: 4,
            lost: share(&mut random),
            doubled: share(&mut random),
            late: share(&mut random),
            troubles,
            spaced,
            mutant: None,
        }
    }
}
