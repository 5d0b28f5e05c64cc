//! The errors that callers are given.

use std::time::Duration;

use bulrushhall_core::Ran;
use bulrushhall_external::http::{Body, BodyError, full};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

/// An `ApiError` is a failed request, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// What is wrong.
    pub code: ApiCode,
    /// What is wrong, in words for a person.
    pub message: String,
    /// Whether a backend server may have run the request.
    pub ran: Ran,
    /// When the caller may come back, where that can be told.
    pub retry_after: Option<Duration>,
}

/// An `ApiCode` is the kind of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApiCode {
    /// The body is not JSON of the expected form.
    MalformedJson,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time or not whole.
    BodyIncomplete,
    /// The key names no team.
    UnknownKey,
    /// No model has the given name.
    ModelNotFound,
    /// No class has the given name.
    UnknownClass,
    /// No service has the given name.
    ServiceNotFound,
    /// Nothing is known under the path.
    NotFound,
    /// The path does not take the method.
    MethodNotAllowed,
    /// A non-repeatable call came without a key.
    MissingIdempotencyKey,
    /// The key was used for another body.
    KeyReused,
    /// A call with the same key still runs.
    KeyInProgress,
    /// The ticket belongs to another life of a node.
    StaleTicket,
    /// No request of the caller has the id.
    RequestNotFound,
    /// The queue has no room for the request.
    Overloaded,
    /// The team is over one of its limits.
    TeamLimit,
    /// The node takes no new work.
    Leaving,
    /// The deadline has passed.
    DeadlinePassed,
    /// No backend server could be reached.
    Unavailable,
    /// The backend server failed within the call.
    BackendFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// A value in the request is outside of what is allowed.
    InvalidValue,
    /// What the reader saw of an answer is not the beginning of the answer that goes on.
    StreamDiverged,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    code: ApiCode,
    message: &'a str,
    ran: Ran,
}

impl ApiError {
    /// Returns the error of a request that was certainly not run.
    pub fn not_run(code: ApiCode, message: impl Into<String>) -> ApiError {
        ApiError { code, message: message.into(), ran: Ran::No, retry_after: None }
    }

    /// Returns this error with whether the request may have run.
    pub fn ran(self, ran: Ran) -> ApiError {
        ApiError { ran, ..self }
    }

    /// Returns this error with the time after which the caller may come back.
    pub fn retry_after(self, after: Duration) -> ApiError {
        ApiError { retry_after: Some(after), ..self }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self.code {
            ApiCode::MalformedJson
            | ApiCode::UnknownClass
            | ApiCode::MissingIdempotencyKey
            | ApiCode::InvalidValue => StatusCode::BAD_REQUEST,
            ApiCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ApiCode::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            ApiCode::UnknownKey => StatusCode::UNAUTHORIZED,
            ApiCode::ModelNotFound
            | ApiCode::ServiceNotFound
            | ApiCode::NotFound
            | ApiCode::RequestNotFound => StatusCode::NOT_FOUND,
            ApiCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ApiCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            ApiCode::KeyInProgress
            | ApiCode::StaleTicket
            | ApiCode::Cancelled
            | ApiCode::StreamDiverged => StatusCode::CONFLICT,
            ApiCode::Overloaded | ApiCode::TeamLimit => StatusCode::TOO_MANY_REQUESTS,
            ApiCode::Leaving | ApiCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ApiCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            ApiCode::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the JSON text that a caller is sent.
    pub fn to_json(&self) -> Vec<u8> {
        let kind = match self.status() {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let inner = Inner { kind, code: self.code, message: &self.message, ran: self.ran };
        // The envelope holds only text, for which serialization cannot fail.
        serde_json::to_vec(&Envelope { error: inner }).unwrap_or_default()
    }

    /// Returns the HTTP answer.
    pub fn into_response(self) -> Response<Body> {
        let mut answer = Response::new(full(self.to_json()));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs() + u64::from(0 < after.subsec_nanos());
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        answer
    }
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> ApiError {
        let code = match error {
            BodyError::TooLarge => ApiCode::BodyTooLarge,
            BodyError::Timeout | BodyError::Closed => ApiCode::BodyIncomplete,
        };
        ApiError::not_run(code, error.to_string())
    }
}
