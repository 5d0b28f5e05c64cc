//! The stages of a request: identify, route, admit, place, attempt, forward the response, log.

mod attempt;
mod events;
mod failure;
mod identify;
mod occupancy;
mod place;
mod relay;
mod serve;
mod settle;
mod stream_gaps;

pub use events::{EventSplitter, Split};
pub use failure::Failure;
pub use serve::serve;
pub use stream_gaps::StreamGaps;
