//! A simulated model engine.

mod cache;
mod model;
mod options;
mod server;
mod text;

pub use cache::{BLOCK_TOKENS, PrefixCache, block_hashes};
pub use model::{EngineModel, Output};
pub use options::EngineOptions;
pub use server::{EngineCounts, EngineServer};
pub use text::{TokenGenerator, expected_answer, words};
