//! The results of simulations.

use hdrhistogram::Histogram;

/// The target for the time to the first token, in microseconds.
const MAX_FIRST_TOKEN_MICROS: u64 = 1_900_000;

/// The upper bound of the histograms, in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 600_000_000;

/// An `Outcome` is the result of one simulation, or the sum of several.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The cost of the VMs, in thousandths of a cent.
    pub cost: f64,
    /// The times to the first token of urgent requests that arrived after the start of the
    /// measurement, which is the main fault or the end of the warm-up, in microseconds.
    pub first_tokens: Histogram<u64>,
    /// The times between tokens of urgent requests after the start of the measurement, in
    /// microseconds.
    pub gaps: Histogram<u64>,
    /// The urgent requests of each team that finished and had their first token in time.
    pub urgent_in_time: [u64; 5],
    /// The urgent requests of each team that arrived.
    pub urgent_arrived: [u64; 5],
    /// The urgent requests that finished.
    pub urgent_finished: u64,
    /// The patient requests that finished.
    pub patient_finished: u64,
    /// The requests that were refused.
    pub refused: u64,
    /// The accepted requests whose deadline passed.
    pub expired: u64,
    /// The tokens that were recomputed after a reclaim or because a request lost its place in a
    /// batch.
    pub recomputed: u64,
    /// The tokens that were computed.
    pub computed: u64,
    /// The number of VMs bought after the start.
    pub bought: u64,
    /// The hours of on-demand VMs.
    pub on_demand_hours: f64,
}

/// A `Summary` is the figures of several simulations that differ in their seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// The cost of 1,000 requests finished in time, in cents.
    pub cost_per_thousand: f64,
    /// The 95th percentile of the time to the first token of urgent requests, in milliseconds.
    pub first_token_p95: f64,
    /// The 95th percentile of the time between tokens, in milliseconds.
    pub gap_p95: f64,
    /// The recomputed tokens of one simulation, on average.
    pub recomputed: f64,
    /// The share of requests that were refused.
    pub refused: f64,
    /// The accepted requests of all simulations whose deadline passed.
    pub expired: u64,
    /// The share of urgent requests that finished in time, for the team with the lowest share; the
    /// largest team is left out.
    pub worst_small_team_in_time: f64,
    /// The share of urgent requests that finished in time.
    pub in_time: f64,
    /// The hours of on-demand VMs in one simulation, on average.
    pub on_demand_hours: f64,
}

impl Default for Outcome {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_MICROS, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        Outcome {
            cost: 0.0,
            first_tokens: histogram(),
            gaps: histogram(),
            urgent_in_time: [0; 5],
            urgent_arrived: [0; 5],
            urgent_finished: 0,
            patient_finished: 0,
            refused: 0,
            expired: 0,
            recomputed: 0,
            computed: 0,
            bought: 0,
            on_demand_hours: 0.0,
        }
    }
}

impl Outcome {
    /// Returns whether a time to the first token, in microseconds, meets the target.
    pub fn is_in_time(first_token: u64) -> bool {
        first_token <= MAX_FIRST_TOKEN_MICROS
    }

    /// Adds the result of another simulation.
    pub fn add(&mut self, other: &Outcome) {
        self.cost += other.cost;
        // Can't fail: all histograms have the same bounds and precision.
        let _ = self.first_tokens.add(&other.first_tokens);
        let _ = self.gaps.add(&other.gaps);
        for team in 0..self.urgent_arrived.len() {
            self.urgent_in_time[team] += other.urgent_in_time[team];
            self.urgent_arrived[team] += other.urgent_arrived[team];
        }
        self.urgent_finished += other.urgent_finished;
        self.patient_finished += other.patient_finished;
        self.refused += other.refused;
        self.expired += other.expired;
        self.recomputed += other.recomputed;
        self.computed += other.computed;
        self.bought += other.bought;
        self.on_demand_hours += other.on_demand_hours;
    }

    /// Returns the summary of a sum of `runs` simulations.
    pub fn summary(&self, runs: usize) -> Summary {
        let runs = runs.max(1) as f64;
        let in_time: u64 = self.urgent_in_time.iter().sum();
        let arrived: u64 = self.urgent_arrived.iter().sum();
        let useful = (in_time + self.patient_finished).max(1) as f64;
        let finished = self.urgent_finished + self.patient_finished;
        let mut worst_share = 1.0_f64;
        for team in 1..self.urgent_arrived.len() {
            let share = self.urgent_in_time[team] as f64 / self.urgent_arrived[team].max(1) as f64;
            worst_share = worst_share.min(share);
        }
        Summary {
            cost_per_thousand: self.cost / 1_000.0 / useful * 1_000.0,
            first_token_p95: self.first_tokens.value_at_quantile(0.95) as f64 / 1e3,
            gap_p95: self.gaps.value_at_quantile(0.95) as f64 / 1e3,
            recomputed: self.recomputed as f64 / runs,
            refused: self.refused as f64 / (self.refused + finished).max(1) as f64,
            expired: self.expired,
            worst_small_team_in_time: worst_share,
            in_time: in_time as f64 / arrived.max(1) as f64,
            on_demand_hours: self.on_demand_hours / runs,
        }
    }
}
