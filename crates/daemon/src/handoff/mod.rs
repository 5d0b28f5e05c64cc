//! Ownership of accepted requests over the nodes: copies, takeovers, handovers and reading from
//! any node.

mod abandon;
mod drain;
mod evacuate;
mod find;
mod keeper;
mod messages;
mod portable;
mod recomputed;

pub use abandon::cancel_abandoned;
pub use drain::{drain, empty, pass_time};
pub use evacuate::{evacuate, follow_notices};
pub use find::{cancel, find, follow};
pub use keeper::{
    Accept, Ended, HandOver, Keeper, Produced, Receive, SetMembers, Standing, StandingOf, Sweep,
    Tick, Undelivered,
};
pub use messages::{Batch, Cancel, Read, ReadReply, register};
pub use portable::Portable;
pub use recomputed::{Cause, Recomputed};
