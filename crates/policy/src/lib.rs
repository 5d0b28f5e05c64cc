//! Decisions on admission, queues, placement, retries and the fleet, as state machines.
//!
//! Nothing here reads a clock, opens a socket or spawns a task: time, events and random numbers
//! come in as arguments and decisions go out as values.

pub mod admission;
pub mod copy_source;
pub mod doubt;
pub mod engine_choice;
pub mod fading;
pub mod fleet;
pub mod fleet_counts;
pub mod lane;
pub mod observed;
pub mod parts;
pub mod patience;
pub mod placement;
pub mod plain_choice;
pub mod prefix;
pub mod quota;
pub mod recent_parts;
pub mod reclaim;
pub mod repeat_share;
pub mod retry;
pub mod team_limits;

pub use admission::{Admission, AdmissionOptions, Decision, Ticket, Wait};
pub use fleet::{FleetAction, FleetEvent, FleetOptions, FleetPlan, FleetPlanner};
pub use lane::{Lane, LaneAction, LaneOptions};
pub use placement::{
    LoadReport, Placement, PlacementOptions, PlacementRegistry, PlacementRequest, WorkerKey,
    WorkerView,
};
pub use reclaim::{Fate, MoveOptions, plan_moves};
pub use retry::{RetryBudget, RetryDecision, RetryOptions};
