//! Decisions on admission, queues, placement, retries and the fleet, as state machines.
//!
//! Nothing here reads a clock, opens a socket or spawns a task: time, events and random numbers
//! come in as arguments and decisions go out as values.

pub mod admission;
pub mod lane;
pub mod placement;
pub mod prefix;
pub mod team_limits;

pub use admission::{Admission, AdmissionOptions, Decision, Ticket, Wait};
pub use lane::{Lane, LaneAction, LaneOptions};
pub use placement::{
    LoadReport, Placement, PlacementOptions, PlacementRegistry, PlacementRequest, WorkerKey,
    WorkerView,
};
