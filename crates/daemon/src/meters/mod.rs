//! What a node counts and measures, in one recorder for each node.

mod catalogue;
mod key_value;
mod recorder;

pub use catalogue::{Kind, Metric};
pub use key_value::MeteredKeyValue;
pub use recorder::Meters;
