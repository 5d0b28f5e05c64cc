//! The HTTP client of a model engine.

use std::time::Duration;

use bulrushhall_core::RequestId;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyDataStream, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    Call,
    engine::{CacheEvent, Engine, EngineLoad, EngineOrder, Frame, Frames, Generate},
    errors::{CallError, CallFault},
    http::{Endpoint, read_limited},
};

/// The largest whole answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// The longest time for the body of a whole answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An `HttpEngine` is a model engine reached by HTTP.
pub struct HttpEngine {
    endpoint: Endpoint,
    progress: Duration,
}

impl HttpEngine {
    /// Returns the engine at `endpoint`, given up when no frame comes for `progress`.
    pub fn new(endpoint: Endpoint, progress: Duration) -> HttpEngine {
        HttpEngine { endpoint, progress }
    }

    async fn post(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, CallError> {
        let req = Request::builder().method(Method::POST).uri(path).body(Full::new(body.into()));
        let req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;
        let answer = self.endpoint.send(req).await?;
        if answer.status() == StatusCode::OK {
            return Ok(answer);
        }
        // An engine that refuses has not run the request.
        Err(CallError::not_done(CallFault::Refused { status: answer.status().as_u16() }))
    }

    async fn read(answer: Response<Incoming>) -> Result<Bytes, CallError> {
        let body = read_limited(answer.into_body(), ANSWER_LIMIT, BODY_TIMEOUT).await;
        body.map_err(|_| CallError::unknown(CallFault::Closed))
    }
}

impl Engine for HttpEngine {
    fn generate(&self, req: Generate) -> Call<'_, Frames> {
        Box::pin(async move {
            let answer = self.post("/generate", encode(&req)?).await?;
            Ok(frames(answer, self.progress))
        })
    }

    fn cancel(&self, request: RequestId) -> Call<'_, ()> {
        Box::pin(
            async move { self.post(&format!("/cancel/{request}"), Bytes::new()).await.map(drop) },
        )
    }

    fn load(&self) -> Call<'_, EngineLoad> {
        Box::pin(async move {
            let answer = self.post("/load", Bytes::new()).await?;
            decode(&Self::read(answer).await?)
        })
    }

    fn cache_events(&self, after: u64) -> Call<'_, Vec<CacheEvent>> {
        Box::pin(async move {
            let answer = self.post(&format!("/events/{after}"), Bytes::new()).await?;
            decode(&Self::read(answer).await?)
        })
    }

    fn export_cache(&self, request: RequestId) -> Call<'_, Bytes> {
        Box::pin(async move {
            let answer = self.post(&format!("/export/{request}"), Bytes::new()).await?;
            Self::read(answer).await
        })
    }

    fn import_cache(&self, cache: Bytes) -> Call<'_, ()> {
        Box::pin(async move { self.post("/import", cache).await.map(drop) })
    }

    fn order(&self, order: EngineOrder) -> Call<'_, ()> {
        Box::pin(async move { self.post("/order", encode(&order)?).await.map(drop) })
    }
}

// A connection can go silent for good. A frame that does not come within the progress time-out
// ends the stream with an error, so that the request goes on elsewhere.
fn frames(answer: Response<Incoming>, progress: Duration) -> Frames {
    let events = BodyDataStream::new(answer.into_body()).eventsource();
    let frames = stream::unfold(Some(Box::pin(events)), move |events| async move {
        let mut events = events?;
        let frame = match timeout(progress, events.next()).await {
            Err(_) => Err(CallError::unknown(CallFault::Timeout)),
            Ok(None) | Ok(Some(Err(_))) => Err(CallError::unknown(CallFault::Closed)),
            Ok(Some(Ok(event))) => decode(event.data.as_bytes()),
        };
        let goes_on = matches!(frame, Ok(Frame::Token(_)));
        Some((frame, goes_on.then_some(events)))
    });
    Box::pin(frames)
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, CallError> {
    serde_json::to_vec(value).map_err(|_| CallError::not_done(CallFault::Malformed))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(bytes).map_err(|_| CallError::unknown(CallFault::Malformed))
}
