//! The stages of a request: identify, route, admit, place, attempt, forward the response, log.

mod access_log;
mod attempt;
mod binding;
mod events;
mod failure;
mod first_bytes;
mod forward;
mod identify;
mod in_flight;
mod node_end;
mod placement;
mod queueing;
mod response_body;
mod resumption;
mod room_search;
mod send;
mod send_fault;
mod serve;
mod silence;
mod silence_race;
mod stream_gaps;
mod tried;

pub use access_log::AccessLogEntry;
pub use binding::Binding;
pub use events::{CompleteEvents, EventSplitter};
pub use failure::Failure;
pub use identify::IdentifiedRequest;
pub use node_end::{Work, ends_in_time};
pub use placement::{Placement, PlacementQuery, connection_share, place};
pub use queueing::{NotPlaced, Queueing, ShortRequest};
pub use serve::serve;
pub use stream_gaps::StreamGaps;
