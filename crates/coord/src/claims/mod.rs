//! Which life of a node is the home of an idempotency key, agreed in the key-value service.

mod machine;
mod options;
mod record;

pub use machine::{ClaimRefusal, Claims, ClaimsAction, Shard, Swapped};
pub use options::ClaimsOptions;
pub use record::KeyHash;
