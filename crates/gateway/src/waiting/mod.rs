//! The queue of requests that no engine can start soon.

mod place;
mod queued_guard;
mod recheck;
mod room;
mod run;
mod service_queue;
mod settings;
mod shortage;
mod team_weight_list;
mod waiting_state;

use std::time::Duration;

use bulrushhall_coord::{FactKind, FactKindId, MergeRule, Role, facts::FactPriority};

pub use place::place_or_wait;
pub use run::run_waiting;
pub use service_queue::{ServiceQueue, Turn};
pub use settings::WaitingSettings;
pub use team_weight_list::{TeamWeightList, TeamWeightListError};
pub use waiting_state::WaitingState;

/// The fact of what nodes have queued for a service.
pub const QUEUED_FACT: FactKind = FactKind {
    id: FactKindId(3),
    rule: MergeRule::Sum,
    // As for loads: four digests may be lost or late. Then the node's share goes to the others.
    max_age: Duration::from_millis(1_000),
    max_subjects: 256,
    priority: FactPriority::High,
    tolerance: 0.0,
    settle_time: Duration::from_secs(2),
};

/// The time between two exchanges of all nodes with each other.
const EXCHANGE: Duration = Duration::from_millis(250);
/// The time after which a change is known everywhere if relays pass it on, over three hops.
const RELAYED_EXCHANGE: Duration = Duration::from_millis(600);

/// Returns the time between two exchanges of what nodes have queued.
pub fn exchange_interval(role: Role) -> Duration {
    if role == Role::Flat { EXCHANGE } else { RELAYED_EXCHANGE }
}
