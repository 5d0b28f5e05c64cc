//! Ownership of accepted requests across nodes: copies, takeovers, handovers and reads from any
//! node.

mod abandon;
mod drain;
mod evacuate;
mod find;
mod messages;
mod ownership_actor;
mod portable;
mod recomputed;

pub use abandon::cancel_abandoned;
pub use drain::{drain, end_open_answers, run_timers};
pub use evacuate::{evacuate, follow_notices};
pub use find::{cancel, find, follow};
pub use messages::{Batch, Cancel, Read, ReadReply, register};
pub use ownership_actor::{
    Accept, Ended, GetRequestRole, HandOver, OwnershipActor, Receive, RequestRole, SetMembers,
    Sweep, Tick, TokenGenerated, Undelivered,
};
pub use portable::Portable;
pub use recomputed::{Cause, Recomputed};
