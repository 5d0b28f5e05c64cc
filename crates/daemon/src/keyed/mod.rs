//! Calls that may run at most once: each key has one home, and only its home runs the call.

mod claimer;
mod home;
mod messages;
mod stored;

pub use claimer::{Bind, Claimer, ClaimerTick, ReadBack, SwapBack, run_timer};
pub(crate) use home::portable_headers;
pub use home::{Keyed, call};
pub use messages::{ClaimFor, KeyedCall, KeyedReply, register};
pub use stored::Stored;
