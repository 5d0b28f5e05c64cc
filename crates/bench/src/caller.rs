//! A caller as the load tool plays it: it sends requests and checks what comes back.

use std::{
    error, fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushhall_core::Ran;
use bulrushhall_external::{
    CallError,
    http::{Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};

/// The largest answer that a caller reads, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// The longest time for the body of a whole answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(120);

/// A `Caller` sends requests to one entry address.
pub struct Caller {
    endpoint: Endpoint,
    team: String,
}

/// An `Answered` is a streamed answer as its caller saw it.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    /// The whole text.
    pub text: String,
    /// The time from the sending of the request to the first token.
    pub first_token: Duration,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The id of the last event.
    pub last_event: Option<String>,
    /// Whether the end of the answer was seen.
    pub whole: bool,
}

/// A `CallerError` is a request that did not end well, as its caller saw it.
#[derive(Clone, Debug)]
pub enum CallerError {
    /// No answer came.
    Call(CallError),
    /// The answer was an error.
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The code that the error carries.
        code: String,
        /// Whether the request may have run.
        ran: Ran,
        /// The seconds after which the caller may come back.
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
    /// Returns a caller of `team` that uses the entry at `address`.
    pub fn new(address: SocketAddr, team: impl Into<String>) -> Caller {
        let options =
            EndpointOptions { response_timeout: BODY_TIMEOUT, ..EndpointOptions::default() };
        Caller { endpoint: Endpoint::new(address, options), team: team.into() }
    }

    /// Returns a caller that gives up on an answer that hasn't begun within `silence`.
    pub fn with_silence(address: SocketAddr, team: impl Into<String>, silence: Duration) -> Caller {
        let options = EndpointOptions { response_timeout: silence, ..EndpointOptions::default() };
        Caller { endpoint: Endpoint::new(address, options), team: team.into() }
    }

    /// Sends a request with a JSON body and returns the answer's status and JSON body.
    pub async fn json(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Value, CallerError> {
        let answer = self.open(method, path, headers, body).await?;
        let body = read_limited(answer.into_body(), ANSWER_LIMIT, BODY_TIMEOUT).await;
        let body = body.map_err(|_| CallerError::Malformed)?;
        serde_json::from_slice(&body).map_err(|_| CallerError::Malformed)
    }

    /// Asks a model and reads its answer as a stream.
    pub async fn chat(
        &self,
        model: &str,
        class: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answered, CallerError> {
        let body = json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let started = Instant::now();
        let headers = [("x-request-class", class)];
        let answer = self.open(Method::POST, "/v1/chat/completions", &headers, &body).await?;
        let mut answered = Answered::default();
        follow(answer, started, &mut answered).await;
        Ok(answered)
    }

    /// Sends a request with a JSON body and returns its answer once the headers are there.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Incoming>, CallerError> {
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

async fn refused(answer: Response<Incoming>) -> CallerError {
    let status = answer.status();
    let retry_after = answer.headers().get("retry-after").and_then(|after| after.to_str().ok());
    let retry_after = retry_after.and_then(|after| after.parse().ok());
    let body = read_limited(answer.into_body(), ANSWER_LIMIT, BODY_TIMEOUT).await;
    let body = body.unwrap_or_default();
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(ErrorBody { error }) => {
            CallerError::Refused { status, code: error.code, ran: error.ran, retry_after }
        }
        Err(_) => CallerError::Malformed,
    }
}

async fn follow(answer: Response<Incoming>, started: Instant, answered: &mut Answered) {
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
