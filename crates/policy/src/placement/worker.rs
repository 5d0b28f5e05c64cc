//! The view that a node has of one engine.

use std::time::Duration;

use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// A `WorkerKey` identifies a backend server within a node; it is never reused.
    pub struct WorkerKey;
}

/// A `WorkerRole` is the set of inference stages that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerRole {
    /// Computes prompts and generates tokens.
    #[default]
    Both,
    /// Computes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}

/// A `LoadReport` is the load that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The running requests, which are in the batch.
    pub running: u32,
    /// The requests that wait for a slot in the batch.
    pub waiting: u32,
    /// The prompt tokens that are queued for computation.
    pub backlog: u32,
    /// The time of one decoding step, which is the time between two tokens of one answer.
    pub step: Duration,
    /// When the report was created.
    pub taken_at: Stamp,
}

/// A `WorkerView` is the view that a node has of one engine.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The engine.
    pub key: WorkerKey,
    /// A hash of the name of its VM, equal on all nodes.
    pub identity: u64,
    /// Whether it accepts new work.
    pub open: bool,
    /// The stages that it runs.
    pub role: WorkerRole,
    /// The one-way network latency to it.
    pub network_latency: Duration,
    /// The number of slots in its batch.
    pub slots: u32,
    /// The prompt tokens that it computes per second while it also generates.
    pub prefill_per_second: u32,
    /// The outstanding requests from this node.
    pub outstanding: u32,
    /// The estimated tokens of the outstanding requests from this node.
    pub outstanding_tokens: u32,
    /// The running requests in the last report.
    pub reported_running: u32,
    /// The waiting requests in the last report.
    pub reported_waiting: u32,
    /// The queued prompt tokens in the last report.
    pub reported_backlog: u32,
    /// When the last report was created.
    pub reported_at: Stamp,
    /// The estimated requests that all nodes started there since the last report, minus those that
    /// ended.
    pub unreported_requests: i32,
    /// The prompt tokens from this node that were queued there at `pending_at`.
    pub pending_prompt_tokens: u32,
    /// When `pending_prompt_tokens` was last updated.
    pub pending_at: Stamp,
    /// The time of one decoding step.
    pub step: Duration,
    /// The correction factor for the predicted time to first token, learned from actual ones; 1
    /// initially.
    pub slowness: f32,
    /// The price per hour, in thousandths of a cent.
    pub price: u64,
    /// Whether its VM can be reclaimed.
    pub reclaimable: bool,
    /// The expected reclaims of its VM per hour.
    pub reclaims_per_hour: f32,
}

impl Default for WorkerView {
    fn default() -> Self {
        WorkerView {
            key: WorkerKey::default(),
            identity: 0,
            open: true,
            role: WorkerRole::Both,
            network_latency: Duration::ZERO,
            slots: 32,
            prefill_per_second: 4_000,
            outstanding: 0,
            outstanding_tokens: 0,
            reported_running: 0,
            reported_waiting: 0,
            reported_backlog: 0,
            reported_at: Stamp(0),
            unreported_requests: 0,
            pending_prompt_tokens: 0,
            pending_at: Stamp(0),
            step: Duration::from_millis(20),
            slowness: 1.0,
            price: 0,
            reclaimable: true,
            reclaims_per_hour: 0.0,
        }
    }
}

impl WorkerView {
    /// Returns the estimated number of requests there now, including those from other nodes.
    pub fn load(&self) -> u32 {
        let reported = self.reported_running + self.reported_waiting;
        reported.saturating_add_signed(self.unreported_requests).max(self.outstanding)
    }

    /// Returns the estimated number of requests from other nodes.
    pub fn other_nodes_load(&self) -> u32 {
        self.load() - self.outstanding
    }

    /// Returns the estimated prompt tokens that are queued there now.
    ///
    /// A report is already old when it arrives. Both the reported tokens and those that this node
    /// sent are assumed to be computed at the usual rate since then; otherwise they would
    /// count long after they were done.
    pub fn backlog(&self, now: Stamp) -> u32 {
        let reported =
            self.reported_backlog.saturating_sub(self.computed_since(now, self.reported_at));
        reported + self.pending_now(now)
    }

    /// Records prompt tokens that this node sends there now.
    pub fn add_pending(&mut self, now: Stamp, prompt: u32) {
        self.pending_prompt_tokens = self.pending_now(now) + prompt;
        self.pending_at = now;
    }

    fn pending_now(&self, now: Stamp) -> u32 {
        self.pending_prompt_tokens.saturating_sub(self.computed_since(now, self.pending_at))
    }

    fn computed_since(&self, now: Stamp, since: Stamp) -> u32 {
        let tokens = now.since(since).as_secs_f64() * f64::from(self.prefill_per_second);
        tokens as u32
    }
}
