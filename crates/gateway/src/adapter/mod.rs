//! What differs from platform to platform, as trait objects.

mod call;
mod orders;
mod records;
mod wire;

pub use call::{Call, Prompt};
pub use orders::{Authority, Orders};
pub use records::{BackendRecord, BackendState, RecordError, Records};
pub use wire::{CallProblem, Refusal, ResponseHead, SendHead, Wire};
