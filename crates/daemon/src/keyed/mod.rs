//! Calls with an idempotency key, which run at most once: each key has one home node, and only that
//! node runs the call.

mod claimer;
mod home;
mod messages;
mod stored;

pub use claimer::{Bind, Claimer, ClaimerTick, ReadDone, SwapDone, run_timer};
pub use home::{KeyedResult, call};
pub(crate) use home::{headers_of, portable_headers};
pub use messages::{ClaimKey, KeyedCall, KeyedReply, register};
pub use stored::StoredResponse;
