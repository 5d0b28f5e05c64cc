//! Ways to tell a part that crashes servers from one whose requests were beside.

use super::{Background, PartTally};

/// A `Judge` decides whether a part crashes servers.
pub trait Judge: Send + Sync {
    /// Returns by how much the evidence exceeds what is needed to blame the part; it is not blamed below 0.
    fn excess(&self, tally: PartTally, background: Background) -> f64;
}
