//! The size that the system has to carry.

/// A `Target` is the size that capacity is worked out for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The nodes.
    pub nodes: f64,
    /// The workers.
    pub workers: f64,
    /// The accelerators of all workers.
    pub accelerators: f64,
    /// The regions.
    pub regions: f64,
    /// The availability zones.
    pub zones: f64,
    /// The requests in a second at the peak.
    pub requests: f64,
    /// The tokens generated in a second at the peak.
    pub tokens: f64,
    /// The seconds to the first token.
    pub first_token: f64,
    /// The seconds between tokens.
    pub gap: f64,
    /// The changes of configuration in a day.
    pub changes: f64,
    /// The VMs that fail in a day.
    pub failures: f64,
    /// The VMs that are restarted or replaced in a day.
    pub replacements: f64,
    /// The part of a core that a node may spend for control.
    pub control_core: f64,
    /// The megabytes that a node may hold for control.
    pub control_megabytes: f64,
    /// The kilobytes in a second that a node may send and receive for control.
    pub control_kilobytes: f64,
    /// The writes in a second that the key-value service takes, as the stand-in has it.
    pub kv_writes: f64,
    /// The reads in a second that the key-value service takes, waiting watches included.
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
    /// Returns the tokens of an average answer.
    pub fn answer_tokens(&self) -> f64 {
        self.tokens / self.requests
    }

    /// Returns the seconds that an average answer is open.
    pub fn open_seconds(&self) -> f64 {
        self.first_token + self.answer_tokens() * self.gap
    }

    /// Returns the answers that are open at once on all nodes.
    pub fn open_answers(&self) -> f64 {
        self.requests * self.open_seconds()
    }

    /// Returns the nodes that are left when one availability zone is gone.
    pub fn nodes_without_a_zone(&self) -> f64 {
        self.nodes - self.nodes / self.zones
    }
}
