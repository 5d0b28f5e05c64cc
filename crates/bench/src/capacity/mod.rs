//! Capacity planning: the resources that each role needs at the target size, extrapolated from
//! linear fits of measurements.

pub mod measure;
mod page;
mod process;
mod slope;
mod tables;
mod target;

pub use page::{PageError, fill};
pub use process::{NodeChild, Usage, serve_node};
pub use slope::{Point, Slope, Slopes};
pub use tables::tables;
pub use target::Target;
