//! `GET /v1/models` and `GET /v1/models/{model}`.

use bulrushhall_core::ModelName;
use bulrushhall_external::http::Body;
use hyper::{Response, http::request::Parts};
use serde_json::{Value, json};

use crate::{
    callers::{ApiCode, ApiError, identify::identify, respond},
    context::Context,
};

/// Lists the models.
pub fn list(cx: &Context, parts: &Parts) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    identify(&in_force.deployment, parts)?;
    let models: Vec<Value> = in_force.deployment.models.keys().map(describe).collect();
    Ok(respond::json(&json!({ "object": "list", "data": models })))
}

/// Returns one model.
pub fn show(cx: &Context, parts: &Parts, model: &str) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    identify(&in_force.deployment, parts)?;
    let found = in_force.deployment.models.keys().find(|name| name.as_str() == model);
    let unknown =
        || ApiError::not_run(ApiCode::ModelNotFound, format!("the model {model:?} does not exist"));
    Ok(respond::json(&describe(found.ok_or_else(unknown)?)))
}

fn describe(model: &ModelName) -> Value {
    json!({ "id": model, "object": "model", "created": 0, "owned_by": "bulrushhall" })
}
