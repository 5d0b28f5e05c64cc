//! Many real membership machines in one process, with delay, loss and cuts between them.

mod checks;
mod cluster;
mod measure;
mod member;
mod options;
mod trace;

pub use checks::{
    Violation, leaving_never_cleared, no_late_work, revision_everywhere, revisions_never_fall,
};
pub use cluster::Cluster;
pub use measure::{Measured, measure};
pub use member::{Traffic, message_bytes, reply_bytes};
pub use options::{Shape, SpreadOptions};
pub use trace::TraceEvent;
