//! The traits that the adapter of a platform implements, and their types.

mod call;
mod orders;
mod records;
mod statement;
mod wire;

pub use call::{Call, Prompt};
pub use orders::{Authority, Orders};
pub use records::{BackendRecord, BackendState, RecordError, Records};
pub use statement::Statement;
pub use wire::{CallProblem, Refusal, ResponseHead, SendHead, Wire};
