//! What a node counts and measures, in one recorder for each node.

mod catalogue;
mod recorder;

pub use catalogue::{Kind, Metric};
pub use recorder::Meters;
