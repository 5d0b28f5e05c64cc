//! A part that may be blamed soon.

use std::time::Duration;

use bulrushhall_core::Incarnation;

use super::{PartId, PartTally};

/// A `SuspectedPart` is a part under which so many servers have crashed that it may be blamed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedPart {
    /// The part.
    pub part: PartId,
    /// The evidence about it.
    pub tally: PartTally,
    /// The node that saw the last sound answer, and the time since that began: crashes before it don't count.
    pub last_sound: Option<(Incarnation, Duration)>,
}
