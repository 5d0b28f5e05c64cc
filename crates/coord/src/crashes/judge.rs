//! Ways to tell a part that crashes servers from one whose requests were beside.

use super::PartTally;

/// A `Judge` decides whether a part crashes servers.
pub trait Judge: Send + Sync {
    /// Returns whether the part is blamed.
    fn blames(&self, tally: PartTally) -> bool;
}
