//! The requests and decisions of an admission queue.

use std::time::Duration;

use bulrushhall_core::{Stamp, TeamName};

/// A `Ticket` identifies a waiting or running request within an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An `AdmissionRequest` is a request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team that is charged for the request.
    pub team: TeamName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The estimated tokens of the prompt and the answer that are still to be computed.
    pub tokens: u32,
    /// The target time of the first token.
    pub first_token_by: Stamp,
    /// The deadline of the whole answer.
    pub deadline: Stamp,
    /// Whether the request was accepted before and so must not be refused.
    pub accepted: bool,
}

/// A `Decision` is an output of an admission queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is accepted and waits.
    Accept(Ticket),
    /// The request is refused; the caller may retry after the given time.
    Refuse(Ticket, Duration),
    /// The request starts now and has to be placed.
    Start(Ticket),
    /// The deadline of the request passed while it waited.
    Expire(Ticket),
}
