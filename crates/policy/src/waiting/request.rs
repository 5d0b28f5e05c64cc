//! A request that waits for an engine.

use bulrushhall_core::{Stamp, TeamName};

/// A `WaitingTicket` identifies a queued request at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingTicket(pub u64);

/// A `WaitingRequest` is a request that waits for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The team whose share it uses.
    pub team: TeamName,
    /// Its urgency; 0 is the most urgent.
    pub rank: u8,
    /// Its work: the tokens to prefill, plus the prompt tokens that take as long as its answer.
    pub work: u32,
    /// When it arrived.
    pub arrived: Stamp,
    /// The latest start at which its first event is in time.
    pub latest_start: Stamp,
    /// When it is refused if it was not started.
    pub leave_by: Stamp,
    /// A hash that is equal for all attempts of its caller, if there is one.
    pub identity: Option<u64>,
    /// Whether it was started before and found no engine: it then goes first within its team.
    pub restarted: bool,
}
