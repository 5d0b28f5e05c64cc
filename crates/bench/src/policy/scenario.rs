//! The load and the faults of a simulation.

use bulrushhall_core::Stamp;

/// A `Scenario` is a load pattern with a schedule of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// The load varies by 40% and nothing fails.
    CalmDay,
    /// The largest team sends eight times its urgent requests for twenty seconds.
    Burst,
    /// The reclaimable VMs of one zone are reclaimed.
    OneZone,
    /// The reclaimable VMs of three zones are reclaimed, ten seconds apart.
    ThreeZones,
    /// One zone is reclaimed and no reclaimable VM can be bought for fifty seconds.
    RefusedAtStart,
    /// One zone is reclaimed while the key-value service is down, so that no plan can be saved.
    KeyValueOutage,
    /// One engine becomes four times slower.
    SlowEngine,
    /// The cheapest zone becomes the most expensive.
    PriceSwap,
}

/// A `Fault` is a change that a scenario injects at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The reclaimable VMs of a zone are reclaimed after a notice.
    Reclaim(usize),
    /// Purchases of reclaimable VMs are refused in all zones.
    RefusePurchases,
    /// Purchases of reclaimable VMs succeed again.
    AllowPurchases,
    /// The key-value service goes down: no plan can be saved.
    KeyValueDown,
    /// The key-value service is back: plans can be saved.
    KeyValueUp,
    /// An engine becomes four times slower.
    Slow,
    /// The order of the zones' prices is reversed.
    SwapPrices,
}

impl Scenario {
    /// All scenarios.
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

    /// When the main fault or burst begins; latencies are recorded from then on.
    pub const EVENT: Stamp = Stamp::from_millis(50_000);

    /// Returns the scenario's name in the report.
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

    /// Returns the faults in order of time.
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
                vec![
                    (at(50), Fault::RefusePurchases),
                    (at(50), Fault::Reclaim(0)),
                    (at(100), Fault::AllowPurchases),
                ]
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

    /// Returns the factor on a team's average rate of urgent requests at a given time.
    pub fn load_factor(self, now: Stamp, team: usize) -> f64 {
        let seconds = now.0 as f64 / 1e6;
        match self {
            Scenario::CalmDay => 1.0 + 0.4 * (seconds / 120.0 * std::f64::consts::TAU).sin(),
            Scenario::Burst if team == 0 && (50.0..70.0).contains(&seconds) => 8.0,
            _ => 1.0,
        }
    }
}
