//! What goes into an admission queue and what it decides.

use std::time::Duration;

use bulrushhall_core::{Stamp, TeamName};

/// A `Ticket` names one waiting or running request inside an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A `AdmissionRequest` describes a request that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team that the request counts against.
    pub team: TeamName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The estimated tokens of prompt and answer that are still to be computed.
    pub tokens: u32,
    /// When the first token is due.
    pub first_token_by: Stamp,
    /// When the whole answer is due.
    pub deadline: Stamp,
    /// Whether the request was accepted before, so that it can no longer be refused.
    pub accepted: bool,
}

/// A `Decision` is what an admission queue wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is accepted and waits.
    Accept(Ticket),
    /// The request is refused; the caller may come back after the given time.
    Refuse(Ticket, Duration),
    /// The request is to be placed and run now.
    Start(Ticket),
    /// The request's deadline has passed while it waited.
    Expire(Ticket),
}
