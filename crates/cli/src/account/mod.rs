//! The report of requests that were late, refused or failed, from the logs of several nodes.

mod cause;
mod counter;
mod ended_call;
mod grouping;
mod log_reader;
mod report;

pub use cause::Cause;
pub use counter::LossCounter;
pub use ended_call::EndedCall;
pub use grouping::Grouping;
pub use log_reader::{LogReader, SkippedLines};
pub use report::{LossGroup, LossReport};
