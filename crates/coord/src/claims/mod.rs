//! Which life of a node is the home of an idempotency key, agreed in the key-value service.

mod machine;
mod options;
mod record;

pub use machine::{ClaimRefusal, Claims, ClaimsAction, SwapResult};
pub use options::{ClaimsOptions, Shard};
pub use record::KeyHash;
