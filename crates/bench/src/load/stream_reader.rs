//! Reading of an answer's event stream: checks event numbers and records arrival times.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushhall_core::{Ran, ids::StreamPosition};
use bulrushhall_external::http::CheckedBody;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::Response;
use serde::Deserialize;
use serde_json::Value;
use tokio::time::timeout;

/// A `StreamReader` is what has been read of one answer so far, over all its connections.
#[derive(Clone, Debug, Default)]
pub struct StreamReader {
    /// The text.
    pub text: String,
    /// The expected number of the next event.
    pub next: u64,
    /// The id of the last event.
    pub last_event: Option<String>,
    /// When the first token arrived.
    pub first: Option<Instant>,
    /// When the last token arrived.
    pub last: Option<Instant>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The number of duplicate events.
    pub duplicated: u32,
    /// The number of missing events.
    pub skipped: u32,
}

/// A `StreamEnd` is how one connection of a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The answer ended normally.
    Whole,
    /// The answer ended with an error.
    Failed {
        /// The code of the error.
        code: String,
        /// Whether the request may have run.
        ran: Ran,
    },
    /// The node is stopping; the answer continues at the entry with this address.
    Moved(SocketAddr),
    /// The connection was closed or silent for too long before the end of the answer.
    Cut,
}

#[derive(Deserialize)]
struct MovedEvent {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct ErrorEvent {
    error: ErrorInner,
}

#[derive(Deserialize)]
struct ErrorInner {
    code: String,
    ran: Ran,
}

impl StreamReader {
    /// Reads the events of one connection until it ends.
    pub async fn read(
        &mut self,
        answer: Response<CheckedBody>,
        idle_timeout: Duration,
    ) -> StreamEnd {
        let mut events = BodyDataStream::new(answer.into_body()).eventsource();
        // A connection may stay silent forever without being closed. A caller that waited on it
        // would never receive the rest of its answer, so it abandons the connection after a
        // timeout.
        while let Ok(Some(Ok(event))) = timeout(idle_timeout, events.next()).await {
            if event.data == "[DONE]" {
                return StreamEnd::Whole;
            }
            if event.event == "moved" {
                let moved = serde_json::from_str::<MovedEvent>(&event.data);
                return moved.map_or(StreamEnd::Cut, |moved| StreamEnd::Moved(moved.address));
            }
            if event.event == "error" {
                return match serde_json::from_str::<ErrorEvent>(&event.data) {
                    Ok(ErrorEvent { error }) => {
                        StreamEnd::Failed { code: error.code, ran: error.ran }
                    }
                    Err(_) => StreamEnd::Cut,
                };
            }
            let Ok(value) = serde_json::from_str::<Value>(&event.data) else { continue };
            let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { continue };
            if !token.is_empty() {
                self.record_token(&event.id, token);
            }
        }
        StreamEnd::Cut
    }

    fn record_token(&mut self, id: &str, token: &str) {
        let position: Option<StreamPosition> = id.parse().ok();
        let number = position.map_or(self.next, |position| position.number);
        if number < self.next {
            self.duplicated += 1;
            return;
        }
        if self.next < number {
            self.skipped += u32::try_from(number - self.next).unwrap_or(u32::MAX);
        }
        self.next = number + 1;
        let now = Instant::now();
        match self.last {
            None => self.first = Some(now),
            Some(last) => self.gaps.push(now - last),
        }
        self.last = Some(now);
        self.text.push_str(token);
        self.last_event = Some(id.to_owned());
    }
}
