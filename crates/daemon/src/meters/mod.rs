//! The metrics of a node, in one recorder per node.

mod catalogue;
mod recorder;

pub use catalogue::{Kind, Metric};
pub use recorder::Meters;
