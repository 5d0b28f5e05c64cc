//! Positions in the changes of a sender.

use serde::{Deserialize, Serialize};

use super::FactPriority;

/// The number of priorities, which are sent as independent sequences of changes.
pub(super) const PRIORITIES: usize = 3;

/// `Positions` are sequence numbers of a sender's changes, one for each priority.
///
/// A priority has a sequence of its own so that a batch which has room for the high ones only can still be
/// acknowledged. The numbers are usually equal and then encoded as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub(super) struct Positions([u64; PRIORITIES]);

impl Positions {
    /// Returns positions that are equal for all priorities.
    pub(super) fn all(position: u64) -> Positions {
        Positions([position; PRIORITIES])
    }

    pub(super) fn get(self, priority: FactPriority) -> u64 {
        self.0[priority as usize]
    }

    pub(super) fn set(&mut self, priority: FactPriority, position: u64) {
        self.0[priority as usize] = position;
    }

    /// Returns the lower positions, priority by priority.
    pub(super) fn min(self, other: Positions) -> Positions {
        let mut min = self;
        for (position, other) in min.0.iter_mut().zip(other.0) {
            *position = other.min(*position);
        }
        min
    }

    /// Returns whether the positions of all priorities are equal.
    pub(super) fn is_equal(self) -> bool {
        self.0.iter().all(|position| *position == self.0[0])
    }

    /// Returns whether no position is beyond `last`.
    pub(super) fn is_within(self, last: u64) -> bool {
        self.0.iter().all(|position| *position <= last)
    }
}

impl From<Vec<u64>> for Positions {
    fn from(listed: Vec<u64>) -> Positions {
        let mut positions = Positions::all(listed.last().copied().unwrap_or(0));
        for (position, listed) in positions.0.iter_mut().zip(listed) {
            *position = listed;
        }
        positions
    }
}

impl From<Positions> for Vec<u64> {
    fn from(Positions(positions): Positions) -> Vec<u64> {
        let mut listed = positions.to_vec();
        while 1 < listed.len() && listed[listed.len() - 1] == listed[listed.len() - 2] {
            listed.pop();
        }
        listed
    }
}
