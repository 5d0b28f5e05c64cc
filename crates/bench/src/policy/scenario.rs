//! What goes wrong in a run, and when.

use bulrushhall_core::Stamp;

/// A `Scenario` is a load and the faults that come with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// The load swings by 40% and nothing fails.
    CalmDay,
    /// The largest team sends eight times its urgent requests for twenty seconds.
    Burst,
    /// One zone's reclaimable VMs are taken back.
    OneZone,
    /// Three zones' reclaimable VMs are taken back, ten seconds apart.
    ThreeZones,
    /// One zone is taken back and nothing reclaimable is sold for fifty seconds.
    RefusedAtStart,
    /// One zone is taken back while the key-value service is down, so that no plan can be saved.
    KeyValueOutage,
    /// One engine becomes four times slower.
    SlowEngine,
    /// The cheapest zone becomes the dearest.
    PriceSwap,
}

/// A `Fault` is something that happens at one moment of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The reclaimable VMs of a zone are taken back.
    Reclaim(usize),
    /// Reclaimable VMs are refused everywhere.
    Refuse,
    /// Reclaimable VMs are sold again.
    Sell,
    /// No plan can be saved.
    KeyValueDown,
    /// Plans can be saved again.
    KeyValueUp,
    /// An engine becomes four times slower.
    Slow,
    /// The prices of the zones are turned round.
    SwapPrices,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Scenario; 8] = [
        Scenario::CalmDay,
        Scenario::Burst,
        Scenario::OneZone,
        Scenario::ThreeZones,
        Scenario::RefusedAtStart,
        Scenario::KeyValueOutage,
        Scenario::SlowEngine,
        Scenario::PriceSwap,
    ];

    /// The moment of the first fault.
    pub const EVENT: Stamp = Stamp::from_millis(50_000);

    /// Returns the scenario's name.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::CalmDay => "calm day",
            Scenario::Burst => "burst",
            Scenario::OneZone => "one zone reclaimed",
            Scenario::ThreeZones => "three zones in succession",
            Scenario::RefusedAtStart => "refusals at start",
            Scenario::KeyValueOutage => "key-value outage",
            Scenario::SlowEngine => "slow engine",
            Scenario::PriceSwap => "price swap",
        }
    }

    /// Returns the faults in the order of their moments.
    pub fn faults(self) -> Vec<(Stamp, Fault)> {
        let at = |seconds: u64| Stamp::from_millis(seconds * 1_000);
        match self {
            Scenario::CalmDay | Scenario::Burst => vec![],
            Scenario::OneZone => vec![(at(50), Fault::Reclaim(0))],
            Scenario::ThreeZones => vec![
                (at(50), Fault::Reclaim(0)),
                (at(60), Fault::Reclaim(1)),
                (at(70), Fault::Reclaim(2)),
            ],
            Scenario::RefusedAtStart => {
                vec![(at(50), Fault::Refuse), (at(50), Fault::Reclaim(0)), (at(100), Fault::Sell)]
            }
            Scenario::KeyValueOutage => vec![
                (at(45), Fault::KeyValueDown),
                (at(50), Fault::Reclaim(0)),
                (at(100), Fault::KeyValueUp),
            ],
            Scenario::SlowEngine => vec![(at(50), Fault::Slow)],
            Scenario::PriceSwap => vec![(at(50), Fault::SwapPrices)],
        }
    }

    /// Returns by how much a team's urgent load is multiplied at a moment.
    pub fn load(self, now: Stamp, team: usize) -> f64 {
        let seconds = now.0 as f64 / 1e6;
        match self {
            Scenario::CalmDay => 1.0 + 0.4 * (seconds / 120.0 * std::f64::consts::TAU).sin(),
            Scenario::Burst if team == 0 && (50.0..70.0).contains(&seconds) => 8.0,
            _ => 1.0,
        }
    }
}
