//! Budgets of calls to the key-value service, one for each duty, with counts of how they ended.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Ran, Stamp};

/// A `Purpose` is what a call to the key-value service is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Following the configuration.
    Config,
    /// Holding leases of duties.
    Lease,
    /// Claims of non-repeatable calls.
    Claim,
    /// The fleet of VMs.
    Fleet,
    /// Following the records below one prefix.
    Records,
}

/// A `Rate` is how many calls a purpose may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The calls of a second, over a longer time.
    pub per_second: f64,
    /// The calls that may be made at once.
    pub burst: f64,
}

/// `Outcomes` count how calls ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Calls that took effect.
    pub done: u64,
    /// Calls that certainly took no effect.
    pub not_done: u64,
    /// Calls that may or may not take effect.
    pub unknown: u64,
    /// Calls that were not made because the budget was spent.
    pub held_back: u64,
}

/// A `CallBudget` limits and counts one node's calls to the key-value service.
///
/// The service's rates grow more slowly than the fleet. A fault that makes one part of a node
/// call in a loop, or all nodes after an outage, would take the service from everyone else; with
/// a budget of its own each part can only starve itself.
#[derive(Debug)]
pub struct CallBudget {
    buckets: BTreeMap<Purpose, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Rate,
    tokens: f64,
    filled: Stamp,
    outcomes: Outcomes,
}

impl Purpose {
    /// Every purpose.
    pub const ALL: [Purpose; 5] =
        [Purpose::Config, Purpose::Lease, Purpose::Claim, Purpose::Fleet, Purpose::Records];

    /// Returns the word that labels metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Purpose::Config => "config",
            Purpose::Lease => "lease",
            Purpose::Claim => "claim",
            Purpose::Fleet => "fleet",
            Purpose::Records => "records",
        }
    }

    /// Returns the calls that one node may make for this purpose.
    pub fn rate(self) -> Rate {
        match self {
            Purpose::Config => Rate { per_second: 2.0, burst: 6.0 },
            Purpose::Lease => Rate { per_second: 4.0, burst: 12.0 },
            Purpose::Claim => Rate { per_second: 100.0, burst: 200.0 },
            Purpose::Fleet => Rate { per_second: 2.0, burst: 10.0 },
            // A change waits at most 0.4 s for others, a fifth of the time in which leaving servers must
            // be known; single changes don't wait.
            Purpose::Records => Rate { per_second: 2.5, burst: 4.0 },
        }
    }
}

impl CallBudget {
    /// Returns full budgets with the usual rates.
    pub fn new(now: Stamp) -> CallBudget {
        CallBudget::with_rates(now, Purpose::ALL.map(|purpose| (purpose, purpose.rate())))
    }

    /// Returns full budgets with the given rates.
    pub fn with_rates(now: Stamp, rates: impl IntoIterator<Item = (Purpose, Rate)>) -> CallBudget {
        let mut buckets = BTreeMap::new();
        for (purpose, rate) in rates {
            let outcomes = Outcomes::default();
            buckets.insert(purpose, Bucket { rate, tokens: rate.burst, filled: now, outcomes });
        }
        CallBudget { buckets }
    }

    /// Takes leave for one call; the error tells when to ask again.
    pub fn take(&mut self, now: Stamp, purpose: Purpose) -> Result<(), Stamp> {
        let Some(bucket) = self.buckets.get_mut(&purpose) else { return Ok(()) };
        let passed = now.since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * bucket.rate.per_second).min(bucket.rate.burst);
        bucket.filled = now;
        if 1.0 <= bucket.tokens {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        bucket.outcomes.held_back += 1;
        let missing = (1.0 - bucket.tokens) / bucket.rate.per_second;
        Err(now + Duration::from_secs_f64(missing))
    }

    /// Notes how a call ended.
    pub fn note(&mut self, purpose: Purpose, ran: Ran) {
        let Some(bucket) = self.buckets.get_mut(&purpose) else { return };
        match ran {
            Ran::Yes => bucket.outcomes.done += 1,
            Ran::No => bucket.outcomes.not_done += 1,
            Ran::Unknown => bucket.outcomes.unknown += 1,
        }
    }

    /// Returns how the calls for a purpose ended.
    pub fn outcomes(&self, purpose: Purpose) -> Outcomes {
        self.buckets.get(&purpose).map(|bucket| bucket.outcomes).unwrap_or_default()
    }
}
