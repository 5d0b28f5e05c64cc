//! Model engines.

use std::pin::Pin;

use bulrushhall_core::{FencingNumber, ModelName, RequestId};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Deserialize, Serialize};

use crate::{Call, CallError};

/// A `Generate` asks an engine to continue an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The request that the answer belongs to.
    pub request: RequestId,
    /// The number of the attempt, over all nodes; frames of older attempts are dropped.
    pub attempt: u32,
    /// The model that is to answer.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// The tokens that the caller was already given; the answer continues behind them.
    pub emitted: Vec<String>,
    /// The most tokens that the whole answer may have, the emitted ones included.
    pub max_tokens: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The fencing number of the sender.
    pub fence: FencingNumber,
}

/// A `Frame` is one part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// The next token's text.
    Token(String),
    /// The answer is whole.
    Done(Usage),
}

/// A `Usage` tells what an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the answer, emitted ones included.
    pub completion_tokens: u32,
    /// The tokens of prompt and emitted tokens that were found in the cache.
    pub cached_tokens: u32,
    /// The tokens that were computed a second time because of a resume.
    pub recomputed_tokens: u32,
    /// Whether the answer ended because it had as many tokens as it may have.
    pub truncated: bool,
}

/// An `EngineLoad` is an engine's report of its load; it lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The number of requests in the batch.
    pub running: u32,
    /// The number of requests that wait for a place in the batch.
    pub waiting: u32,
    /// The tokens of prompts that wait to be computed.
    pub prefill_backlog: u32,
    /// The tokens held in the prefix cache.
    pub cached_tokens: u32,
    /// The time between two tokens of one answer, in microseconds.
    pub step_micros: u32,
}

/// An `EngineOrder` tells an engine what it shall be; repeating it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender.
    pub fence: FencingNumber,
    /// The number of this desired state; an engine that keeps count takes only newer ones.
    pub generation: u64,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: String,
    /// The role to take.
    pub role: EngineRole,
}

/// An `EngineRole` is the part of the work that an engine does.
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

/// A `CacheEvent` tells that a block of tokens came into an engine's prefix cache or left it.
///
/// Events come late, and some are lost: a gap in the sequence shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The count of the engine's events before this one.
    pub sequence: u64,
    /// The hash of the block and of all tokens before it.
    pub block: u64,
    /// Whether the block is now held.
    pub held: bool,
}

/// A stream of an answer's frames; it ends after [`Frame::Done`] or an error.
pub type Frames = Pin<Box<dyn Stream<Item = Result<Frame, CallError>> + Send>>;

/// An `Engine` is one model engine on one VM.
pub trait Engine: Send + Sync {
    /// Starts or continues an answer.
    fn generate(&self, req: Generate) -> Call<'_, Frames>;

    /// Stops work on a request.
    fn cancel(&self, request: RequestId) -> Call<'_, ()>;

    /// Gets the latest report of load.
    fn load(&self) -> Call<'_, EngineLoad>;

    /// Gets the cache events from number `after` on.
    fn cache_events(&self, after: u64) -> Call<'_, Vec<CacheEvent>>;

    /// Gets the KV cache of a request.
    fn export_cache(&self, request: RequestId) -> Call<'_, Bytes>;

    /// Puts an exported KV cache into the engine's cache.
    fn import_cache(&self, cache: Bytes) -> Call<'_, ()>;

    /// Orders a model, version and role.
    fn order(&self, order: EngineOrder) -> Call<'_, ()>;
}
