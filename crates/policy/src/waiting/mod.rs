//! The queue of requests that no engine can start soon, and the division of engine capacity among nodes.
//!
//! It addresses a shortage of engines: requests that are bound to an engine on arrival wait there behind less urgent
//! ones, and a node can't tell which of them will be in time.

mod budget;
mod class_queue;
mod credit;
mod order;
mod queue;
mod queued_work;
mod request;
mod retry_slots;
mod work_rate;

pub use budget::WaitingBudget;
pub use class_queue::TeamWeights;
pub use credit::{Credit, room_tokens};
pub use order::{ArrivalOrder, LeastTimeLeft, StartOrder, WorkPerTimeLeft};
pub use queue::{Refused, Started, WaitingQueue};
pub use queued_work::QueuedWork;
pub use request::{WaitingRequest, WaitingTicket};

/// The number of urgencies; 0 is the most urgent.
pub const RANKS: usize = 10;
