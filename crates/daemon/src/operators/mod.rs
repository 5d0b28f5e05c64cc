//! The operators' port: health, readiness, metrics, status and draining.

mod port;
mod request_status;
mod status;

pub use port::OperatorPort;
pub use request_status::{RequestState, RequestStatus};
pub use status::{BackendStatus, ClassStatus, MemberStatus, NodeStatus};
