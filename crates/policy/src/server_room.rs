//! How many requests a brittle backend server takes at once, learned from its rejections and divided among the nodes.

use std::time::Duration;

use bulrushhall_core::Stamp;

use crate::placement::rendezvous_score;

/// `RoomOptions` are the steps by which nodes learn the room of a brittle server. Shares are those of its slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomOptions {
    /// The factor by which the first rejection lowers the room: it may be far less than the slots.
    pub first_decrease: f64,
    /// The factor by which a later rejection lowers it.
    pub decrease: f64,
    /// The share per second by which the room grows after a rejection.
    pub growth: f64,
    /// How long after a rejection the room stays below the one at which it came.
    pub ceiling_time: Duration,
    /// The share of the room of a server that has fallen and started again.
    pub fallen: f64,
    /// The share per second by which its room grows.
    pub fallen_growth: f64,
    /// The share beyond the slots that is tried, since requests may wait.
    pub spare: f64,
    /// The lowest tolerance at which that is tried: it may take a rejection at several nodes to learn the room.
    pub min_spare_tolerance: u32,
    /// How long nodes send nothing to a server that has rejected a request.
    pub pause: Duration,
}

impl Default for RoomOptions {
    fn default() -> Self {
        RoomOptions {
            first_decrease: 0.6,
            decrease: 0.875,
            growth: 1.0 / 32.0,
            ceiling_time: Duration::from_secs(30),
            fallen: 0.25,
            fallen_growth: 0.125,
            spare: 0.25,
            min_spare_tolerance: 8,
            pause: Duration::from_millis(400),
        }
    }
}

/// A `RoomNote` is what is known of a server's room since a moment, in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomNote {
    /// The room at that moment.
    pub base: f64,
    /// The growth per second.
    pub per_second: f64,
    /// The room that was too much; none if none was.
    pub ceiling: Option<f64>,
    /// The moment.
    pub at: Stamp,
}

impl RoomOptions {
    /// Returns what is known of a server that has rejected nothing.
    pub fn untouched(&self, slots: u32) -> RoomNote {
        let slots = f64::from(slots.max(1));
        RoomNote { base: slots, per_second: slots * self.growth, ceiling: None, at: Stamp(0) }
    }

    /// Returns what is known of a server that has fallen and started again at `now`.
    pub fn after_fall(&self, now: Stamp, slots: u32) -> RoomNote {
        let slots = f64::from(slots.max(1));
        let (base, per_second) = (slots * self.fallen, slots * self.fallen_growth);
        RoomNote { base, per_second, ceiling: None, at: now }
    }

    /// Returns what is known of a server after a rejection at `now`.
    pub fn after_rejection(
        &self,
        now: Stamp,
        known: RoomNote,
        slots: u32,
        tolerance: u32,
    ) -> RoomNote {
        let room = f64::from(self.room(now, known, slots, tolerance));
        let per_second = f64::from(slots.max(1)) * self.growth;
        let is_first = known.ceiling.is_none();
        let decrease = if is_first { self.first_decrease } else { self.decrease };
        let base = (room * decrease).min(room - 1.0).max(1.0);
        RoomNote { base, per_second, ceiling: Some(room - 1.0), at: now }
    }

    /// Returns the requests that all nodes together may have at a server.
    pub fn room(&self, now: Stamp, known: RoomNote, slots: u32, tolerance: u32) -> u32 {
        let slots = f64::from(slots.max(1));
        let spare = if tolerance < self.min_spare_tolerance { 0.0 } else { slots * self.spare };
        let age = now.since(known.at);
        let ceiling = known.ceiling.filter(|_| age < self.ceiling_time).unwrap_or(f64::INFINITY);
        let grown = known.base + known.per_second * age.as_secs_f64();
        // The sum is far below the numbers that are not exact.
        grown.min(slots + spare).min(ceiling).max(1.0) as u32
    }
}

/// A `RoomRank` is the place of a node among all nodes at one server, by which they divide its room without messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRank {
    /// The number of nodes before it.
    pub before: u32,
    /// The number of all nodes.
    pub nodes: u32,
}

impl Default for RoomRank {
    fn default() -> Self {
        RoomRank { before: 0, nodes: 1 }
    }
}

impl RoomRank {
    /// Returns the rank of the node `own` at `server`; `others` are the other nodes.
    pub fn of(server: u64, own: u64, others: impl IntoIterator<Item = u64>) -> RoomRank {
        let own_score = rendezvous_score(server, own);
        let mut rank = RoomRank::default();
        for other in others {
            rank.nodes += 1;
            rank.before += u32::from(own_score < rendezvous_score(server, other));
        }
        rank
    }

    /// Returns the part of the node in a room; the parts of all nodes add up to it.
    pub fn part(self, room: u32) -> u32 {
        room / self.nodes + u32::from(self.before < room % self.nodes)
    }
}

/// Returns the nodes that have a part of a room at `server`, of all nodes with their hashes.
pub fn room_owners<T>(room: u32, server: u64, nodes: impl IntoIterator<Item = (u64, T)>) -> Vec<T> {
    let mut scored = Vec::new();
    for (hash, node) in nodes {
        scored.push((rendezvous_score(server, hash), node));
    }
    scored.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.truncate(room as usize);
    scored.into_iter().map(|(_, node)| node).collect()
}
