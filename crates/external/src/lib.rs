//! Interfaces of the external services that the system uses, and their HTTP clients.

pub mod clients;
pub mod cloud;
pub mod engine;
pub mod errors;
pub mod http;
pub mod kv;
pub mod latest_era;
pub mod service;
pub mod vm_list;
pub mod weights;

use std::{future::Future, pin::Pin};

pub use cloud::Cloud;
pub use engine::Engine;
pub use errors::{CallError, CallFault};
pub use kv::KeyValue;
pub use latest_era::LatestEra;
pub use service::PlainService;
pub use vm_list::VmList;
pub use weights::WeightStore;

/// A boxed future, as returned by methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A call to an external service; an error states whether the call may have taken effect.
pub type Call<'a, T> = BoxFuture<'a, Result<T, CallError>>;
