//! Simulations of clusters of real [`Membership`](bulrushhall_coord::Membership) state machines
//! with delay, loss and blocked links between them.

mod checks;
mod cluster;
mod measure;
mod member;
mod options;
mod trace;

pub use checks::{
    Violation, leaving_never_cleared, no_late_work, revisions_never_revert, revisions_reach_all,
};
pub use cluster::Cluster;
pub use measure::{Measurement, measure};
pub use member::{Traffic, message_bytes, reply_bytes};
pub use options::{Shape, SpreadOptions};
pub use trace::TraceEvent;
