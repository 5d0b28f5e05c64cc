//! The second filter: parses a model request and determines its class.

use std::time::Duration;

use bulrushhall_core::{ClassName, Deployment, ModelName, ServiceName, token};
use bytes::Bytes;
use hyper::http::request::Parts;
use serde::{Deserialize, Serialize};

use crate::callers::{ApiCode, ApiError, prompt::Prompt};

/// The header that names the class of a request.
const CLASS_HEADER: &str = "x-request-class";
/// The maximum number of answer tokens when the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A `Classified` is a parsed model request with the settings of its class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Classified {
    /// The model.
    pub model: ModelName,
    /// The service whose engines run the model.
    pub service: ServiceName,
    /// The class.
    pub class: ClassName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time within which the first token is due.
    pub first_token: Duration,
    /// The time within which the complete answer is due.
    pub deadline: Duration,
    /// The prompt.
    pub prompt: String,
    /// The estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of answer tokens.
    pub max_tokens: u32,
    /// How the answer is to be sent.
    pub delivery: Delivery,
}

/// A `Delivery` is how an answer is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// As one body.
    Whole,
    /// As a stream of events.
    Streamed,
    /// As a stream of events that ends with the token usage.
    StreamedWithUsage,
}

/// A `DefaultClass` selects the class of a request that names none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultClass {
    /// The most urgent class.
    MostUrgent,
    /// The least urgent class.
    LeastUrgent,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Prompt,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

/// Parses a model request and looks up its model and class.
pub fn classify(
    deployment: &Deployment,
    parts: &Parts,
    body: &Bytes,
    default_class: DefaultClass,
) -> Result<Classified, ApiError> {
    let body: ChatBody = serde_json::from_slice(body)
        .map_err(|error| ApiError::not_run(ApiCode::MalformedJson, error.to_string()))?;
    if !body.messages.has_messages {
        return Err(ApiError::not_run(ApiCode::InvalidValue, "messages is empty"));
    }
    let (model, cfg) = find_model(deployment, &body.model)?;
    let (class, class_cfg) = find_class(deployment, parts, default_class)?;

    let requested = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    if requested == 0 {
        return Err(ApiError::not_run(ApiCode::InvalidValue, "max_tokens must be at least 1"));
    }
    let prompt = body.messages.text;
    let include_usage =
        body.stream_options.and_then(|options| options.include_usage).unwrap_or(false);
    Ok(Classified {
        model,
        service: cfg.service.clone(),
        class,
        priority: class_cfg.priority,
        first_token: class_cfg.first_token.into(),
        deadline: class_cfg.deadline.into(),
        prompt_tokens: token::estimate(prompt.len()),
        prompt,
        max_tokens: requested.min(cfg.max_tokens),
        delivery: match (body.stream.unwrap_or(false), include_usage) {
            (false, _) => Delivery::Whole,
            (true, false) => Delivery::Streamed,
            (true, true) => Delivery::StreamedWithUsage,
        },
    })
}

fn find_model<'a>(
    deployment: &'a Deployment,
    name: &str,
) -> Result<(ModelName, &'a bulrushhall_core::config::ModelConfig), ApiError> {
    let unknown =
        || ApiError::not_run(ApiCode::ModelNotFound, format!("the model {name:?} does not exist"));
    let model = ModelName::new(name).map_err(|_| unknown())?;
    let cfg = deployment.models.get(&model).ok_or_else(unknown)?;
    Ok((model, cfg))
}

/// Returns the class that a request names, or the default class if it names none.
pub(crate) fn find_class<'a>(
    deployment: &'a Deployment,
    parts: &Parts,
    default_class: DefaultClass,
) -> Result<(ClassName, &'a bulrushhall_core::config::ClassConfig), ApiError> {
    let unknown = || ApiError::not_run(ApiCode::UnknownClass, "no class has the given name");
    let named = parts.headers.get(CLASS_HEADER).and_then(|name| name.to_str().ok());
    if let Some(named) = named {
        let class = ClassName::new(named).map_err(|_| unknown())?;
        let cfg = deployment.classes.get(&class).ok_or_else(unknown)?;
        return Ok((class, cfg));
    }
    let classes = deployment.classes.iter();
    let found = match default_class {
        DefaultClass::MostUrgent => classes.min_by_key(|(_, cfg)| cfg.priority),
        DefaultClass::LeastUrgent => classes.max_by_key(|(_, cfg)| cfg.priority),
    };
    found.map(|(name, cfg)| (name.clone(), cfg)).ok_or_else(unknown)
}
