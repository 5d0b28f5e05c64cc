//! Admission and queueing of model requests.

mod fair_queue;
mod machine;
mod options;
mod service_rate;
mod wait;

pub use fair_queue::FairQueue;
pub use machine::Admission;
pub use options::AdmissionOptions;
pub use service_rate::ServiceRate;
pub use wait::{Decision, Ticket, Wait};
