//! An HTTP client that sends requests as a caller and reads the answers.

use std::{
    error, fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushhall_core::Ran;
use bulrushhall_external::{
    CallError,
    http::{CheckedBody, Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, Full};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The timeout for reading the whole body of an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(120);

/// A `Caller` is a client of one team that sends requests to one entry.
pub struct Caller {
    endpoint: Endpoint,
    team: String,
}

/// A `StreamedAnswer` is a streamed answer as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// The text that was received.
    pub text: String,
    /// The time from sending the request to the first token.
    pub first_token: Duration,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The id of the last event.
    pub last_event: Option<String>,
    /// Whether the end of the answer was received.
    pub whole: bool,
}

/// A `CallerError` is the error of a request as its caller received it.
#[derive(Clone, Debug)]
pub enum CallerError {
    /// No answer was received.
    Call(CallError),
    /// The answer was an error.
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The error code.
        code: String,
        /// Whether the request may have run.
        ran: Ran,
        /// The seconds after which the caller may retry.
        retry_after: Option<u64>,
    },
    /// The answer could not be read.
    Malformed,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorInner,
}

#[derive(Deserialize)]
struct ErrorInner {
    code: String,
    ran: Ran,
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerError::Call(error) => write!(f, "{error}"),
            CallerError::Refused { status, code, ran, .. } => {
                write!(f, "{status}: {code} (ran: {})", ran.as_str())
            }
            CallerError::Malformed => f.write_str("the answer could not be read"),
        }
    }
}

impl error::Error for CallerError {}

impl Caller {
    /// Returns a caller of `team` that sends to the entry at `address`.
    pub fn new(address: SocketAddr, team: impl Into<String>) -> Caller {
        let options =
            EndpointOptions { response_timeout: BODY_TIMEOUT, ..EndpointOptions::default() };
        Caller { endpoint: Endpoint::new(address, options), team: team.into() }
    }

    /// Returns a caller that abandons a request whose answer has not started within `timeout`.
    pub fn with_response_timeout(
        address: SocketAddr,
        team: impl Into<String>,
        timeout: Duration,
    ) -> Caller {
        let options = EndpointOptions { response_timeout: timeout, ..EndpointOptions::default() };
        Caller { endpoint: Endpoint::new(address, options), team: team.into() }
    }

    /// Sends a request with a JSON body and returns the JSON body of the answer.
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Value, CallerError> {
        let answer = self.open(method, path, headers, body).await?;
        let body = read_limited(answer.into_body(), MAX_ANSWER_BYTES, BODY_TIMEOUT).await;
        let body = body.map_err(|_| CallerError::Malformed)?;
        serde_json::from_slice(&body).map_err(|_| CallerError::Malformed)
    }

    /// Sends a request to a model and reads its streamed answer.
    pub async fn chat(
        &self,
        model: &str,
        class: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<StreamedAnswer, CallerError> {
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let started = Instant::now();
        let headers = [("x-request-class", class)];
        let answer = self.open(Method::POST, "/v1/chat/completions", &headers, &body).await?;
        let mut answered = StreamedAnswer::default();
        read_stream(answer, started, &mut answered).await;
        Ok(answered)
    }

    /// Sends a request with a JSON body and returns the answer once its headers are received.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<CheckedBody>, CallerError> {
        let bytes = if body.is_null() { Vec::new() } else { body.to_string().into_bytes() };
        let mut builder = Request::builder().method(method).uri(path).header("x-team", &self.team);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req =
            builder.body(Full::new(Bytes::from(bytes))).map_err(|_| CallerError::Malformed)?;
        let answer = self.endpoint.send(req).await.map_err(CallerError::Call)?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        Err(refused(answer).await)
    }
}

async fn refused(answer: Response<CheckedBody>) -> CallerError {
    let status = answer.status();
    let retry_after = answer.headers().get("retry-after").and_then(|after| after.to_str().ok());
    let retry_after = retry_after.and_then(|after| after.parse().ok());
    let body = read_limited(answer.into_body(), MAX_ANSWER_BYTES, BODY_TIMEOUT).await;
    let body = body.unwrap_or_default();
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => {
            CallerError::Refused { status, code: error.code, ran: error.ran, retry_after }
        }
        Err(_) => CallerError::Malformed,
    }
}

async fn read_stream(
    answer: Response<CheckedBody>,
    started: Instant,
    answered: &mut StreamedAnswer,
) {
    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let mut last = started;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            answered.whole = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(&event.data) else { return };
        let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { continue };
        if token.is_empty() {
            continue;
        }
        let now = Instant::now();
        match answered.text.is_empty() {
            true => answered.first_token = now - started,
            false => answered.gaps.push(now - last),
        }
        last = now;
        answered.text.push_str(token);
        answered.last_event = Some(event.id);
    }
}
