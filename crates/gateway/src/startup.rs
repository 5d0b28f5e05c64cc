//! When a node reached each stage of its start.

use std::time::Duration;

use bulrushhall_core::{Event, Stamp};

/// The time after the start at which the timeline is logged although not all stages were reached.
const LOGGED_AFTER: Duration = Duration::from_secs(10);
/// The time after the start for which a node without peers looks for them in short rounds.
const LONGEST_SEARCH: Duration = Duration::from_secs(5);
/// The time after the first peer is known for which rounds of gossip are short. Through relays a report takes three
/// rounds to reach all nodes.
const SHORT_ROUNDS: Duration = Duration::from_millis(500);

/// A `Stage` is a stage of a node's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its record is in the key-value service.
    RecordWritten,
    /// It has a configuration.
    Configured,
    /// It has a list of the backend servers.
    ServersListed,
    /// It knows another node.
    PeerKnown,
    /// It has received a digest.
    PeerHeard,
    /// It serves callers.
    Ready,
    /// It has answered a caller.
    FirstAnswer,
}

const STAGES: usize = 7;

/// A `Startup` is the timeline of a node's start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    started_at: Stamp,
    reached: [Option<Stamp>; STAGES],
    is_logged: bool,
}

impl Startup {
    /// Returns the timeline of a node that starts at `now`.
    pub fn new(now: Stamp) -> Startup {
        Startup { started_at: now, ..Startup::default() }
    }

    /// Notes that a stage is reached; later calls change nothing.
    pub fn note(&mut self, now: Stamp, stage: Stage) {
        self.reached[stage as usize].get_or_insert(now);
    }

    /// Returns the time from the start to a stage, in milliseconds.
    pub fn millis(&self, stage: Stage) -> Option<u64> {
        let time = self.reached[stage as usize]?.since(self.started_at);
        Some(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns whether rounds of gossip are short, since other nodes don't know of this one yet.
    pub fn has_short_rounds(&self, now: Stamp) -> bool {
        match self.reached[Stage::PeerKnown as usize] {
            Some(known_at) => now.since(known_at) < SHORT_ROUNDS,
            None => now.since(self.started_at) < LONGEST_SEARCH,
        }
    }

    /// Returns whether the timeline is to be logged now, which is once.
    pub fn is_due(&mut self, now: Stamp) -> bool {
        let is_complete = self.reached.iter().all(Option::is_some);
        let is_due = is_complete || LOGGED_AFTER <= now.since(self.started_at);
        is_due && !std::mem::replace(&mut self.is_logged, is_due)
    }

    /// Logs the timeline if it is due.
    pub fn log_if_due(&mut self, now: Stamp) {
        if !self.is_due(now) {
            return;
        }
        tracing::info!(
            event = Event::StartupTimeline.number(),
            record_ms = self.millis(Stage::RecordWritten),
            config_ms = self.millis(Stage::Configured),
            servers_ms = self.millis(Stage::ServersListed),
            peer_ms = self.millis(Stage::PeerHeard),
            ready_ms = self.millis(Stage::Ready),
            answer_ms = self.millis(Stage::FirstAnswer)
        );
    }
}
