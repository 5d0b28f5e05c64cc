//! HTTP clients of the platform and the backend servers.

mod engine;
mod kv;
mod service;

pub use engine::HttpEngine;
pub use kv::{EXPECT_HEADER, HttpKeyValue, LEASE_HEADER, VERSION_HEADER};
pub use service::{FENCE_HEADER, HttpService};
