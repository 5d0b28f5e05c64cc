//! HTTP clients of the platform and the backend servers.

mod cloud;
mod engine;
mod json;
mod kv;
mod service;
mod vm_list;
mod weights;

pub use cloud::HttpCloud;
pub use engine::HttpEngine;
pub use kv::{EXPECTED_VERSION_HEADER, HttpKeyValue, LEASE_HEADER, VERSION_HEADER};
pub use service::{FENCING_NUMBER_HEADER, HttpService};
pub use vm_list::HttpVmList;
pub use weights::HttpWeightStore;
