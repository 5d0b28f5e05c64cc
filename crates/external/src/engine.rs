//! Model engines.

use std::pin::Pin;

use bulrushhall_core::{FencingNumber, ModelName, RequestId};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, Serialize};

use crate::{Call, CallError};

/// A `Generate` is a request to an engine to start or continue a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The request that the response belongs to.
    pub request: RequestId,
    /// The number of the attempt, counted over all nodes; frames of older attempts are dropped.
    pub attempt: u32,
    /// The model to run.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The tokens that the caller has already received; the response continues after them.
    pub emitted: Vec<String>,
    /// The maximum number of tokens of the whole response, including the emitted ones.
    pub max_tokens: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The fencing number of the sender.
    pub fence: FencingNumber,
}

/// A `Frame` is one part of an engine's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// The text of the next token.
    Token(String),
    /// The response is complete.
    Done(Usage),
}

/// A `Usage` states the numbers of tokens of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The number of tokens of the response, including the emitted ones.
    pub completion_tokens: u32,
    /// The number of tokens, of the prompt and the emitted tokens, that were found in the cache.
    pub cached_tokens: u32,
    /// The number of tokens that were computed again because of a resume.
    pub recomputed_tokens: u32,
    /// Whether the response ended because it reached the maximum number of tokens.
    pub truncated: bool,
}

/// An `EngineLoad` is an engine's report of its load, which may be outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of requests in the batch.
    pub running: u32,
    /// The number of requests that wait to join the batch.
    pub waiting: u32,
    /// The number of prompt tokens that wait for prefill.
    pub prefill_backlog: u32,
    /// The number of tokens in the prefix cache.
    pub cached_tokens: u32,
    /// The time between two tokens of one response, in microseconds.
    pub step_micros: u32,
}

/// An `EngineOrder` is the desired state of an engine; sending it again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender.
    pub fence: FencingNumber,
    /// The generation of the desired state; an engine that checks it accepts only newer ones.
    pub generation: u64,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: String,
    /// The role to take.
    pub role: EngineRole,
}

/// An `EngineRole` states which phases of requests an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Computes prompts and generates tokens.
    #[default]
    Both,
    /// Computes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}

/// A `CacheEvent` reports that a block of tokens was added to an engine's prefix cache or evicted.
///
/// Events arrive late, and some are lost, which shows as a gap in the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the engine's events before this one.
    pub sequence: u64,
    /// The hash of the block and of all tokens before it.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub held: bool,
}

/// The stream of a response's frames; it ends after [`Frame::Done`] or an error.
pub type Frames = Pin<Box<dyn Stream<Item = Result<Frame, CallError>> + Send>>;

/// An `Engine` is one model engine on one VM.
pub trait Engine: Send + Sync {
    /// Starts or continues a response.
    fn generate(&self, req: Generate) -> Call<'_, Frames>;

    /// Cancels a request.
    fn cancel(&self, request: RequestId) -> Call<'_, ()>;

    /// Gets the latest load report.
    fn load(&self) -> Call<'_, EngineLoad>;

    /// Gets the cache events from number `after` on.
    fn cache_events(&self, after: u64) -> Call<'_, Vec<CacheEvent>>;

    /// Gets the KV cache of a request.
    fn export_cache(&self, request: RequestId) -> Call<'_, Bytes>;

    /// Imports an exported KV cache into the engine's cache.
    fn import_cache(&self, cache: Bytes) -> Call<'_, ()>;

    /// Sets the model, version and role of the engine.
    fn order(&self, order: EngineOrder) -> Call<'_, ()>;
}
