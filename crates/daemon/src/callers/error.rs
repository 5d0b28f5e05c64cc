//! The errors that are returned to callers.

use std::time::Duration;

use bulrushhall_core::Ran;
use bulrushhall_external::http::{Body, BodyError, full};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

/// The retry delay that a caller is given when the node has no memory.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);

/// An `ApiError` is the error that the caller of a failed request receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// The kind of the error.
    pub code: ApiCode,
    /// A description for people.
    pub message: String,
    /// Whether a backend server may have run the request.
    pub ran: Ran,
    /// After which time the caller may retry, if that is known.
    pub retry_after: Option<Duration>,
}

/// An `ApiCode` is the kind of an [`ApiError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApiCode {
    /// The body is not JSON of the expected form.
    MalformedJson,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time or is incomplete.
    BodyIncomplete,
    /// The credentials do not identify a team.
    UnknownKey,
    /// There is no model of the given name.
    ModelNotFound,
    /// There is no class of the given name.
    UnknownClass,
    /// There is no service of the given name.
    ServiceNotFound,
    /// The path does not exist.
    NotFound,
    /// The path does not accept the method.
    MethodNotAllowed,
    /// A call that is not idempotent has no idempotency key.
    MissingIdempotencyKey,
    /// The idempotency key was used for a different call.
    KeyReused,
    /// A call with the same idempotency key is still running.
    KeyInProgress,
    /// The node incarnation that the ticket or key belongs to cannot be reached.
    StaleTicket,
    /// The caller's team has no request with the id.
    RequestNotFound,
    /// The queue has no room for the request.
    Overloaded,
    /// The team is over one of its limits.
    TeamLimit,
    /// The node is leaving and takes no new requests.
    Leaving,
    /// The deadline has passed.
    DeadlinePassed,
    /// No backend server could be reached.
    Unavailable,
    /// The backend server failed during the call.
    BackendFailed,
    /// Backend servers crash under the request.
    CrashesServers,
    /// The caller cancelled the request.
    Cancelled,
    /// A value in the request is not allowed.
    InvalidValue,
    /// The part of an answer that the reader has seen is not the beginning of the current answer.
    StreamDiverged,
}

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
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

    /// Returns the error of a request for which there is no memory.
    pub fn no_memory() -> ApiError {
        let error =
            ApiError::not_run(ApiCode::Unavailable, "the node has no memory for the request");
        error.retry_after(RETRY_AFTER_NO_MEMORY)
    }

    /// Sets whether the request may have run.
    pub fn ran(self, ran: Ran) -> ApiError {
        ApiError { ran, ..self }
    }

    /// Sets the time after which the caller may retry.
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
            ApiCode::Leaving | ApiCode::Unavailable | ApiCode::CrashesServers => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            ApiCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            ApiCode::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the error as the JSON body of a response.
    pub fn to_json(&self) -> Vec<u8> {
        let kind = match self.status() {
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::UNAUTHORIZED => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let body = ErrorBody { kind, code: self.code, message: &self.message, ran: self.ran };
        // The envelope holds only text, whose serialization cannot fail.
        serde_json::to_vec(&ErrorEnvelope { error: body }).unwrap_or_default()
    }

    /// Returns the error as an HTTP response.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(full(self.to_json()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs() + u64::from(0 < after.subsec_nanos());
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> ApiError {
        let code = match error {
            BodyError::TooLarge => ApiCode::BodyTooLarge,
            BodyError::Timeout | BodyError::Closed | BodyError::Malformed => {
                ApiCode::BodyIncomplete
            }
            BodyError::NoRoom => return ApiError::no_memory(),
        };
        ApiError::not_run(code, error.to_string())
    }
}
