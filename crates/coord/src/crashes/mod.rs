//! Prompt parts under which backend servers crash: evidence, decisions, and what is refused because of them.

mod part;

pub use part::{PartId, PartIds};
