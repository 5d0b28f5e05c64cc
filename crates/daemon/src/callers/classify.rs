//! The second filter: what a model request asks for and how urgent it is.

use std::time::Duration;

use bulrushhall_core::{ClassName, Deployment, ModelName, ServiceName, token};
use bytes::Bytes;
use hyper::http::request::Parts;
use serde::{Deserialize, Serialize};

use crate::callers::{ApiCode, ApiError};

/// The header that names the class of a request.
const CLASS_HEADER: &str = "x-request-class";
/// The most tokens of an answer when the caller names no limit.
const DEFAULT_TOKENS: u32 = 256;

/// A `Classified` is a model request as the rest of the pipeline sees it.
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
    /// The time within which the first token is to come.
    pub first_token: Duration,
    /// The time within which the whole answer is to come.
    pub deadline: Duration,
    /// The prompt.
    pub prompt: String,
    /// The estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// How the answer is to be sent.
    pub delivery: Delivery,
}

/// A `Delivery` is how an answer is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// As a whole.
    Whole,
    /// As a stream of events.
    Streamed,
    /// As a stream of events that ends with usage figures.
    StreamedWithUsage,
}

/// A `Patience` tells which class a request has that names none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// The most urgent class.
    Urgent,
    /// The least urgent class.
    Patient,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
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

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: Option<String>,
}

/// Returns what a model request asks for.
pub fn classify(
    deployment: &Deployment,
    parts: &Parts,
    body: &Bytes,
    patience: Patience,
) -> Result<Classified, ApiError> {
    let body: ChatBody = serde_json::from_slice(body)
        .map_err(|error| ApiError::not_run(ApiCode::MalformedJson, error.to_string()))?;
    if body.messages.is_empty() {
        return Err(ApiError::not_run(ApiCode::InvalidValue, "messages is empty"));
    }
    let (model, cfg) = find_model(deployment, &body.model)?;
    let (class, class_cfg) = find_class(deployment, parts, patience)?;

    let asked = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_TOKENS);
    if asked == 0 {
        return Err(ApiError::not_run(ApiCode::InvalidValue, "max_tokens must be at least 1"));
    }
    let prompt = prompt_of(&body.messages);
    let usage = body.stream_options.and_then(|options| options.include_usage).unwrap_or(false);
    Ok(Classified {
        model,
        service: cfg.service.clone(),
        class,
        priority: class_cfg.priority,
        first_token: class_cfg.first_token.into(),
        deadline: class_cfg.deadline.into(),
        prompt_tokens: token::estimate(prompt.len()),
        prompt,
        max_tokens: asked.min(cfg.max_tokens),
        delivery: match (body.stream.unwrap_or(false), usage) {
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

/// Returns the class that a request names, or the one that its patience asks for.
pub(crate) fn find_class<'a>(
    deployment: &'a Deployment,
    parts: &Parts,
    patience: Patience,
) -> Result<(ClassName, &'a bulrushhall_core::config::ClassConfig), ApiError> {
    let unknown = || ApiError::not_run(ApiCode::UnknownClass, "no class has the given name");
    let named = parts.headers.get(CLASS_HEADER).and_then(|name| name.to_str().ok());
    if let Some(named) = named {
        let class = ClassName::new(named).map_err(|_| unknown())?;
        let cfg = deployment.classes.get(&class).ok_or_else(unknown)?;
        return Ok((class, cfg));
    }
    let classes = deployment.classes.iter();
    let found = match patience {
        Patience::Urgent => classes.min_by_key(|(_, cfg)| cfg.priority),
        Patience::Patient => classes.max_by_key(|(_, cfg)| cfg.priority),
    };
    found.map(|(name, cfg)| (name.clone(), cfg)).ok_or_else(unknown)
}

fn prompt_of(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            None => {}
            Some(Content::Text(text)) => prompt.push_str(text),
            Some(Content::Parts(parts)) => {
                for part in parts {
                    prompt.push_str(part.text.as_deref().unwrap_or(""));
                }
            }
        }
        prompt.push('\n');
    }
    prompt
}
