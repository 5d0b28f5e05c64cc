//! What the system needs of the world outside: trait objects and their HTTP clients.

pub mod clients;
pub mod cloud;
pub mod engine;
pub mod errors;
pub mod http;
pub mod kv;
pub mod service;
pub mod vm_list;
pub mod weights;

use std::{future::Future, pin::Pin};

pub use cloud::Cloud;
pub use engine::Engine;
pub use errors::{CallError, CallFault};
pub use kv::KeyValue;
pub use service::PlainService;
pub use vm_list::VmList;
pub use weights::WeightStore;

/// A boxed future, as methods of trait objects return it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A call that ends as done (`Ok`), as not done or as unknown (see [`CallError`]).
pub type Call<'a, T> = BoxFuture<'a, Result<T, CallError>>;
