//! A caller's reading of a stream: event numbers are checked, times are taken.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushhall_core::{Ran, ids::StreamPosition};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::{Response, body::Incoming};
use serde::Deserialize;
use serde_json::Value;
use tokio::time::timeout;

/// A `Following` is what was read of one answer so far, over all its connections.
#[derive(Clone, Debug, Default)]
pub struct Following {
    /// The text.
    pub text: String,
    /// The number of the next event.
    pub next: u64,
    /// The id of the last event.
    pub last_event: Option<String>,
    /// When the first token came.
    pub first: Option<Instant>,
    /// When the last token came.
    pub last: Option<Instant>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The events that came a second time.
    pub duplicated: u32,
    /// The events that were left out.
    pub skipped: u32,
}

/// A `Followed` tells how one connection of a stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// The end of the answer was seen.
    Whole,
    /// The answer ended with an error.
    Failed {
        /// The code of the error.
        code: String,
        /// Whether the request may have run.
        ran: Ran,
    },
    /// The answer goes on at another entry, as the node that is stopping says.
    Moved(SocketAddr),
    /// The connection ended, or went silent, before the end of the answer.
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

impl Following {
    /// Reads one connection's events to their end.
    pub async fn read(&mut self, answer: Response<Incoming>, silence: Duration) -> Followed {
        let mut events = BodyDataStream::new(answer.into_body()).eventsource();
        // A connection may go silent for good without being closed. A caller that waited on it
        // would never see the rest of its answer, so it gives the connection up after a while.
        while let Ok(Some(Ok(event))) = timeout(silence, events.next()).await {
            if event.data == "[DONE]" {
                return Followed::Whole;
            }
            if event.event == "moved" {
                let moved = serde_json::from_str::<MovedEvent>(&event.data);
                return moved.map_or(Followed::Cut, |moved| Followed::Moved(moved.address));
            }
            if event.event == "error" {
                return match serde_json::from_str::<ErrorEvent>(&event.data) {
                    Ok(ErrorEvent { error }) => {
                        Followed::Failed { code: error.code, ran: error.ran }
                    }
                    Err(_) => Followed::Cut,
                };
            }
            let Ok(value) = serde_json::from_str::<Value>(&event.data) else { continue };
            let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { continue };
            if !token.is_empty() {
                self.take(&event.id, token);
            }
        }
        Followed::Cut
    }

    fn take(&mut self, id: &str, token: &str) {
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
