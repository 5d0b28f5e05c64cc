//! Facts: small numeric records that nodes report to each other, merged over all nodes.
//!
//! A kind of fact has a merge rule, a maximum age, a maximum number of subjects and a priority. A fact is a
//! kind, a subject such as the name of a server, and up to eight numbers.

mod batch;
mod error;
mod kind;
mod merged;
mod positions;
mod receivers;
mod registry;
mod sending;
mod source;
mod store;
mod subject;
mod value;
mod view;
mod wire;

pub use batch::{FactBatch, FactScope};
pub use error::{FactError, FactRefusal};
pub use kind::{FactKind, FactKindId, FactPriority, MergeRule};
pub use merged::{Merged, Received};
pub use registry::Facts;
pub use value::{FactValue, MAX_NUMBERS, MAX_SUBJECT_BYTES};
