//! What a node believes of one engine.

use std::time::Duration;

use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// A `WorkerKey` names one backend server inside a node; it is never used twice.
    pub struct WorkerKey;
}

/// A `WorkerRole` is the part of the work that an engine does.
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

/// A `LoadReport` is an engine's own count of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The requests in the batch.
    pub running: u32,
    /// The requests that wait for a place in the batch.
    pub waiting: u32,
    /// The prompt tokens that wait to be computed.
    pub backlog: u32,
    /// The time between two tokens of one answer.
    pub step: Duration,
    /// When the counts were taken.
    pub taken_at: Stamp,
}

/// A `WorkerView` is what a node believes of one engine.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The engine.
    pub key: WorkerKey,
    /// A hash of its VM's name, the same on all nodes.
    pub identity: u64,
    /// Whether it takes new work.
    pub open: bool,
    /// The part of the work that it does.
    pub role: WorkerRole,
    /// The one-way latency to it.
    pub network_latency: Duration,
    /// The requests that its batch holds.
    pub slots: u32,
    /// The prompt tokens that it computes in a second while it generates too.
    pub prefill_per_second: u32,
    /// The requests that this node has running there.
    pub outstanding: u32,
    /// The estimated tokens that this node has running there.
    pub outstanding_tokens: u32,
    /// The requests running there in the last report.
    pub reported_running: u32,
    /// The requests waiting there in the last report.
    pub reported_waiting: u32,
    /// The prompt tokens waiting there in the last report.
    pub reported_backlog: u32,
    /// When the last report was taken.
    pub reported_at: Stamp,
    /// The requests that all nodes are taken to have started there since the last report, less
    /// those that ended.
    pub since_requests: i32,
    /// The prompt tokens of this node that waited there at `pending_at`.
    pub pending_prompt: u32,
    /// When they were last worked out.
    pub pending_at: Stamp,
    /// The time between two tokens there.
    pub step: Duration,
    /// How many times the predicted time first tokens really took; 1 before any was seen.
    pub slowness: f32,
    /// The price of an hour, in thousandths of a cent.
    pub price: u64,
    /// Whether its VM can be taken back.
    pub reclaimable: bool,
    /// The expected reclaims of its VM in an hour.
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
            since_requests: 0,
            pending_prompt: 0,
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
    /// Returns the estimated requests there now, those of other nodes included.
    pub fn load(&self) -> u32 {
        let reported = self.reported_running + self.reported_waiting;
        reported.saturating_add_signed(self.since_requests).max(self.outstanding)
    }

    /// Returns the estimated requests that other nodes have there.
    pub fn others(&self) -> u32 {
        self.load() - self.outstanding
    }

    /// Returns the estimated prompt tokens that wait there now.
    ///
    /// A report is old when it comes. What it shows and what this node sent is taken to have been
    /// computed at the usual rate since; it would otherwise count long after it was done.
    pub fn backlog(&self, now: Stamp) -> u32 {
        let reported = self.reported_backlog.saturating_sub(self.computed(now, self.reported_at));
        reported + self.pending(now)
    }

    /// Adds prompt tokens that this node sends there now.
    pub fn send(&mut self, now: Stamp, prompt: u32) {
        self.pending_prompt = self.pending(now) + prompt;
        self.pending_at = now;
    }

    fn pending(&self, now: Stamp) -> u32 {
        self.pending_prompt.saturating_sub(self.computed(now, self.pending_at))
    }

    fn computed(&self, now: Stamp, since: Stamp) -> u32 {
        let tokens = now.since(since).as_secs_f64() * f64::from(self.prefill_per_second);
        tokens as u32
    }
}
