//! Admission, queueing, placement, retry and fleet planning decisions, as state machines.
//!
//! Nothing here reads a clock, opens a socket or spawns a task: time, events and random number
//! generators are arguments, and decisions are return values.

pub mod admission;
pub mod circuit_breaker;
pub mod copy_source;
pub mod decaying_sum;
pub mod engine_choice;
pub mod fleet;
pub mod fleet_counts;
pub mod headroom_share;
pub mod latency_budget;
pub mod node_share;
pub mod observed;
pub mod parts;
pub mod placement;
pub mod prefix;
pub mod prefix_homes;
pub mod quota;
mod quota_limit;
pub mod reachability;
pub mod recent_parts;
pub mod reclaim;
pub mod retry;
pub mod rollout;
pub mod scheduler;
pub mod server_choice;
pub mod server_limit;
pub mod server_room;
pub mod server_speed;
pub mod slot_counts;
pub mod team_limits;
pub mod waiting;
pub mod windowed_retry_budget;

pub use admission::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket};
pub use fleet::{FleetAction, FleetEvent, FleetOptions, FleetPlan, FleetPlanner};
pub use placement::{
    LoadReport, Placement, PlacementOptions, PlacementRegistry, PlacementRequest, WorkerKey,
    WorkerView,
};
pub use reclaim::{MoveDecision, MoveOptions, plan_moves};
pub use retry::{RetryBudget, RetryDecision, RetryOptions};
pub use scheduler::{Scheduler, SchedulerAction, SchedulerOptions};
