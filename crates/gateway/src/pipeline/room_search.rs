//! The search for a brittle backend server with room for a request.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The time after which no other server or node is asked: slow refusals come from those that are busy themselves.
const MAX_SEARCH: Duration = Duration::from_millis(150);

/// A `RoomSearch` ends the search for room before it holds a request for long.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoomSearch {
    end: Option<Stamp>,
}

impl RoomSearch {
    /// Notes that an attempt which began at `began` found no room; returns whether the search is over.
    pub fn note_refusal(&mut self, began: Stamp, now: Stamp) -> bool {
        *self.end.get_or_insert(began + MAX_SEARCH) <= now
    }
}
