//! The room at one backend server while its service is brittle.

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::server_room::{RoomNote, RoomOptions, RoomRank};
use serde::{Deserialize, Serialize};

/// A `Brittleness` is what the servers of a service have said of themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Brittleness {
    /// The requests that a server may turn away in a second without falling.
    pub tolerance: u32,
    /// Since when this node knows.
    pub since: Stamp,
}

/// An `AuthoredRoom` is what a node has learned of the room at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AuthoredRoom {
    /// What it has learned.
    pub note: RoomNote,
    /// The node that learned it.
    pub author: Incarnation,
    /// The number among those of the node.
    pub number: u64,
}

/// A `RoomReport` is what a node has learned of the room at a server, for other nodes.
///
/// It is encoded without field names, which would otherwise be repeated for each backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "(String, Option<u64>, f64, f64, Option<f64>, u64, Incarnation, u64)")]
pub struct RoomReport {
    /// The backend server.
    pub backend: String,
    /// Its start time.
    pub born: Option<u64>,
    /// The room at that moment, in requests.
    pub base: f64,
    /// The growth per second since.
    pub per_second: f64,
    /// The room that was too much.
    pub ceiling: Option<f64>,
    /// The time since that moment, in milliseconds.
    pub age_ms: u64,
    /// The node that learned it.
    pub author: Incarnation,
    /// The number among those of the node.
    pub number: u64,
}

impl From<RoomReport> for (String, Option<u64>, f64, f64, Option<f64>, u64, Incarnation, u64) {
    fn from(report: RoomReport) -> Self {
        let RoomReport { backend, born, base, per_second, ceiling, age_ms, author, number } =
            report;
        (backend, born, base, per_second, ceiling, age_ms, author, number)
    }
}

impl RoomReport {
    /// Returns whether all numbers are possible.
    pub fn is_valid(&self) -> bool {
        let is_count = |number: f64| number.is_finite() && 0.0 <= number;
        is_count(self.base) && is_count(self.per_second) && self.ceiling.is_none_or(is_count)
    }
}

/// A `ServerRoom` is the room at a backend server, and what this node uses of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerRoom {
    learned: Option<AuthoredRoom>,
    learned_at: Stamp,
    rank: RoomRank,
    paused_until: Option<Stamp>,
    seen_at: Stamp,
    in_flight: u32,
}

impl ServerRoom {
    /// Returns the room at a server that is known since `now`.
    pub fn new(now: Stamp) -> ServerRoom {
        ServerRoom { seen_at: now, ..ServerRoom::default() }
    }

    /// Returns whether this node may send a request now, to a server with `slots`.
    pub fn has_part(&self, now: Stamp, brittleness: Brittleness, slots: u32) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        !is_paused && self.in_flight < self.rank.part(self.room(now, brittleness, slots))
    }

    /// Returns the requests that all nodes together may have there.
    pub fn room(&self, now: Stamp, brittleness: Brittleness, slots: u32) -> u32 {
        let known = self.known(brittleness, slots);
        RoomOptions::default().room(now, known, slots, brittleness.tolerance)
    }

    // A server that appears while its service is brittle may have fallen before.
    fn known(&self, brittleness: Brittleness, slots: u32) -> RoomNote {
        let options = RoomOptions::default();
        match self.learned {
            Some(learned) => learned.note,
            None if brittleness.since < self.seen_at => options.after_fall(self.seen_at, slots),
            None => options.untouched(slots),
        }
    }

    /// Notes that the server rejected a request of this node, which was sent at `sent_at`; returns whether the room is
    /// lower than before.
    pub fn note_rejection(
        &mut self,
        (sent_at, now): (Stamp, Stamp),
        brittleness: Brittleness,
        slots: u32,
        (author, number): (Incarnation, u64),
    ) -> bool {
        let options = RoomOptions::default();
        self.paused_until = Some(now + options.pause);
        let known = self.known(brittleness, slots);
        // What was sent before an earlier rejection arrived tells nothing new.
        if sent_at < known.at {
            return false;
        }
        let note = options.after_rejection(now, known, slots, brittleness.tolerance);
        self.learned = Some(AuthoredRoom { note, author, number });
        self.learned_at = now;
        true
    }

    /// Takes over what another node has learned, if it is newer.
    pub fn receive(&mut self, now: Stamp, received: AuthoredRoom) {
        let is_newer = self.learned.is_none_or(|known| match known.author == received.author {
            true => known.number < received.number,
            false => known.note.at < received.note.at,
        });
        if !is_newer {
            return;
        }
        self.learned = Some(received);
        self.learned_at = now;
        let pause_ends = received.note.at + RoomOptions::default().pause;
        self.paused_until = self.paused_until.max(Some(pause_ends));
    }

    /// Returns what was learned, and when this node learned it.
    pub fn learned(&self) -> Option<(AuthoredRoom, Stamp)> {
        self.learned.map(|learned| (learned, self.learned_at))
    }

    /// Forgets what was learned, after the service is no longer brittle.
    pub fn forget(&mut self) {
        (self.learned, self.paused_until) = (None, None);
    }

    /// Sets the rank of this node among all nodes at the server.
    pub fn set_rank(&mut self, rank: RoomRank) {
        self.rank = rank;
    }

    /// Counts a request that is sent over a connection of this node.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of such a request.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
