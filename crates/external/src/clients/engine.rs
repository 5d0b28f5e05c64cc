//! The HTTP client of a model engine.

use std::{
    error, fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushhall_core::RequestId;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyDataStream, Full};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    Call,
    engine::{CacheEvent, Engine, EngineLoad, EngineOrder, Frame, Frames, Generate},
    errors::{CallError, CallFault},
    http::{CheckedBody, Endpoint, read_limited},
};

/// The maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The maximum size of a report of an engine, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;
/// The maximum size of a frame of a stream with the comments before it, in bytes.
const MAX_FRAME_BYTES: usize = 256 * 1_024;
/// The time limit for the body of a response that is not streamed.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An `HttpEngine` is a client of a model engine.
pub struct HttpEngine {
    endpoint: Endpoint,
    frame_timeout: Duration,
}

impl HttpEngine {
    /// Returns a client of the engine at `endpoint`; a stream fails if no frame arrives within
    /// `frame_timeout`.
    pub fn new(endpoint: Endpoint, frame_timeout: Duration) -> HttpEngine {
        HttpEngine { endpoint, frame_timeout }
    }

    async fn post(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<CheckedBody>, CallError> {
        let req = Request::builder().method(Method::POST).uri(path).body(Full::new(body.into()));
        let req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;
        let response = self.endpoint.send(req).await?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        // An engine that refuses a request has not run it.
        Err(CallError::not_done(CallFault::Refused { status: response.status().as_u16() }))
    }

    async fn read(response: Response<CheckedBody>, limit: usize) -> Result<Bytes, CallError> {
        let body = read_limited(response.into_body(), limit, BODY_TIMEOUT).await;
        body.map_err(|_| CallError::unknown(CallFault::Closed))
    }
}

impl Engine for HttpEngine {
    fn generate(&self, req: Generate) -> Call<'_, Frames> {
        Box::pin(async move {
            let response = self.post("/generate", encode(&req)?).await?;
            Ok(frames(response, self.frame_timeout, req.max_tokens))
        })
    }

    fn cancel(&self, request: RequestId) -> Call<'_, ()> {
        Box::pin(
            async move { self.post(&format!("/cancel/{request}"), Bytes::new()).await.map(drop) },
        )
    }

    fn load(&self) -> Call<'_, EngineLoad> {
        Box::pin(async move {
            let response = self.post("/load", Bytes::new()).await?;
            decode(&Self::read(response, MAX_REPORT_BYTES).await?)
        })
    }

    fn cache_events(&self, after: u64) -> Call<'_, Vec<CacheEvent>> {
        Box::pin(async move {
            let response = self.post(&format!("/events/{after}"), Bytes::new()).await?;
            decode(&Self::read(response, MAX_REPORT_BYTES).await?)
        })
    }

    fn export_cache(&self, request: RequestId) -> Call<'_, Bytes> {
        Box::pin(async move {
            let response = self.post(&format!("/export/{request}"), Bytes::new()).await?;
            Self::read(response, MAX_RESPONSE_BYTES).await
        })
    }

    fn import_cache(&self, cache: Bytes) -> Call<'_, ()> {
        Box::pin(async move { self.post("/import", cache).await.map(drop) })
    }

    fn order(&self, order: EngineOrder) -> Call<'_, ()> {
        Box::pin(async move { self.post("/order", encode(&order)?).await.map(drop) })
    }
}

// A connection can become silent without being closed. If no frame arrives within the timeout, the
// stream ends with an error, so that the request continues elsewhere. So does one whose frame does not end, or that has more
// tokens than were asked for.
fn frames(response: Response<CheckedBody>, frame_timeout: Duration, max_tokens: u32) -> Frames {
    let unread = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&unread);
    let body = BodyDataStream::new(response.into_body()).map(move |chunk| {
        let chunk = chunk.map_err(|_| FrameFault)?;
        let bytes = counted.fetch_add(chunk.len(), Ordering::Relaxed) + chunk.len();
        if MAX_FRAME_BYTES < bytes { Err(FrameFault) } else { Ok(chunk) }
    });
    let events = Box::pin(body.eventsource());
    let frames = stream::unfold(Some((events, max_tokens)), move |open| {
        let unread = Arc::clone(&unread);
        async move {
            let (mut events, left) = open?;
            let frame = match timeout(frame_timeout, events.next()).await {
                Err(_) => Err(CallError::unknown(CallFault::Timeout)),
                Ok(None) | Ok(Some(Err(_))) => Err(CallError::unknown(CallFault::Closed)),
                Ok(Some(Ok(event))) => decode(event.data.as_bytes()),
            };
            unread.store(0, Ordering::Relaxed);
            let frame = match frame {
                Ok(Frame::Token(_)) if left == 0 => Err(CallError::unknown(CallFault::Malformed)),
                frame => frame,
            };
            let is_open = matches!(frame, Ok(Frame::Token(_)));
            Some((frame, is_open.then_some((events, left.saturating_sub(1)))))
        }
    });
    Box::pin(frames)
}

/// A `FrameFault` is a body that broke off, or a frame in it that is too large.
#[derive(Clone, Copy, Debug)]
struct FrameFault;

impl fmt::Display for FrameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream of frames broke off, or a frame is too large")
    }
}

impl error::Error for FrameFault {}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(value).map_err(|_| CallError::not_done(CallFault::Malformed))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(bytes).map_err(|_| CallError::unknown(CallFault::Malformed))
}
