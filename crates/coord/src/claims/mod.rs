//! Agreement through the key-value service on the home of each idempotency key: the incarnation of
//! a node that alone may run the key's call.

mod machine;
mod options;
mod record;

pub use machine::{ClaimRefusal, Claims, ClaimsAction, SwapResult};
pub use options::{ClaimsOptions, Shard};
pub use record::KeyHash;
