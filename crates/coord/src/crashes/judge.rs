//! Ways to tell a part that crashes servers from one whose requests were beside.

use super::{Confidence, PartTally};

/// A `Judge` decides whether a part crashes servers.
pub trait Judge: Send + Sync {
    /// Returns how certain it is that the part crashes servers; none if it is not blamed.
    fn blames(&self, tally: PartTally) -> Option<Confidence>;
}
