//! The size that the system has to support.

/// A `Target` is the size that capacity is computed for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The number of nodes.
    pub nodes: f64,
    /// The number of workers.
    pub workers: f64,
    /// The number of accelerators of all workers.
    pub accelerators: f64,
    /// The number of regions.
    pub regions: f64,
    /// The number of availability zones.
    pub zones: f64,
    /// The requests per second at the peak.
    pub requests: f64,
    /// The generated tokens per second at the peak.
    pub tokens: f64,
    /// The time to the first token, in seconds.
    pub first_token: f64,
    /// The time between tokens, in seconds.
    pub gap: f64,
    /// The configuration changes per day.
    pub changes: f64,
    /// The VMs that fail per day.
    pub failures: f64,
    /// The VMs that are restarted or replaced per day.
    pub replacements: f64,
    /// The share of a core that a node may use for the control plane.
    pub control_core: f64,
    /// The megabytes of memory that a node may use for the control plane.
    pub control_megabytes: f64,
    /// The kilobytes per second of control traffic that a node may send and receive.
    pub control_kilobytes: f64,
    /// The writes per second that the key-value service accepts; the limit of the simulated one.
    pub kv_writes: f64,
    /// The reads per second that the key-value service accepts, including waiting watches.
    pub kv_reads: f64,
}

impl Default for Target {
    fn default() -> Self {
        Target {
            nodes: 340.0,
            workers: 860.0,
            accelerators: 6_900.0,
            regions: 3.0,
            zones: 10.0,
            requests: 11_000.0,
            tokens: 3_300_000.0,
            first_token: 1.9,
            gap: 0.032,
            changes: 1_100.0,
            failures: 24.0,
            replacements: 120.0,
            control_core: 0.018,
            control_megabytes: 64.0,
            control_kilobytes: 9.0,
            kv_writes: 400.0,
            kv_reads: 2_000.0,
        }
    }
}

impl Target {
    /// Returns the number of tokens of an average answer.
    pub fn answer_tokens(&self) -> f64 {
        self.tokens / self.requests
    }

    /// Returns the seconds that an average answer is open.
    pub fn open_seconds(&self) -> f64 {
        self.first_token + self.answer_tokens() * self.gap
    }

    /// Returns the number of concurrently open answers on all nodes.
    pub fn open_answers(&self) -> f64 {
        self.requests * self.open_seconds()
    }

    /// Returns the number of nodes that remain when one availability zone is lost.
    pub fn nodes_without_a_zone(&self) -> f64 {
        self.nodes - self.nodes / self.zones
    }
}
