//! Admission and queueing of model requests.

mod fair_queue;
mod machine;
mod options;
mod request;
mod service_rate;

pub use fair_queue::FairQueue;
pub use machine::Admission;
pub use options::AdmissionOptions;
pub use request::{AdmissionRequest, Decision, Ticket};
pub use service_rate::ServiceRate;
