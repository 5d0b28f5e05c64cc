//! The traits that the adapter of a platform implements, and their types.

mod call;
mod orders;
mod records;
mod request_limit;
mod wire;

pub use call::{Call, Prompt};
pub use orders::{Authority, Orders};
pub use records::{BackendRecord, BackendState, RecordError, Records};
pub use request_limit::RequestLimit;
pub use wire::{CallProblem, Refusal, ResponseHead, SendHead, Wire};
