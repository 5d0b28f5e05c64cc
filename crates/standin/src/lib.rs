//! Simulated platform services and backend servers for tests and the demo, over HTTP and with fault
//! injection.

pub mod bandwidth;
pub mod cloud;
pub mod engine;
pub mod kv;
pub mod link;
pub mod loopback;
pub mod partition_link;
pub mod reply;
pub mod running_server;
pub mod service;
pub mod switches;
pub mod vm_list;
pub mod weights;
