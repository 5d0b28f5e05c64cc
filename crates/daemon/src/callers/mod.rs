//! The HTTP port for callers and the request pipeline; each filter of the pipeline has its own
//! file.

mod admit;
mod chat;
pub mod classify;
mod entries;
mod error;
mod events;
mod identify;
mod limit;
mod models;
mod observe;
mod prompt;
pub(crate) mod relay;
mod requests;
mod respond;
mod router;
mod sending;
pub(crate) mod sent;
pub(crate) mod services;
mod settle;

pub use error::{ApiCode, ApiError};
pub use router::CallerPort;
