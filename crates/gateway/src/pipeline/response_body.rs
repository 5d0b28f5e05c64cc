//! The body of a backend server's response.

use std::collections::VecDeque;

use bulrushhall_external::http::{BodyEnd, CheckedBody, ResponseError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame};

use crate::{
    body_budget::BodyBudget,
    pipeline::events::{EventSplitter, MAX_EVENT_BYTES},
};

/// What a body brings next; none at its end.
pub type BodyFrame = Option<Result<Frame<Bytes>, ResponseError>>;

/// An `Ahead` is what was read ahead of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ahead {
    /// The start.
    Part,
    /// All of it.
    End,
    /// Something that is no whole answer.
    Cut,
}

/// A `ResponseBody` is the body of a response, the start of which may have been read ahead.
#[derive(Debug)]
pub struct ResponseBody {
    ahead: VecDeque<Bytes>,
    rest: CheckedBody,
}

impl ResponseBody {
    /// Returns a body of which nothing was read.
    pub fn new(rest: CheckedBody) -> ResponseBody {
        ResponseBody { ahead: VecDeque::new(), rest }
    }

    /// Returns what marks its end.
    pub fn end(&self) -> BodyEnd {
        self.rest.end()
    }

    /// Waits for what it brings next.
    pub async fn frame(&mut self) -> BodyFrame {
        match self.ahead.pop_front() {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None => self.rest.frame().await,
        }
    }

    /// Returns whether all of it was returned.
    pub fn is_end_stream(&self) -> bool {
        self.ahead.is_empty() && self.rest.is_end_stream()
    }

    /// Returns what was read ahead.
    pub fn ahead(&self) -> impl Iterator<Item = &Bytes> {
        self.ahead.iter()
    }

    /// Reads up to the first event after the one with the id `after`; `budget` bounds the incomplete events of all streams.
    pub async fn read_event_ahead(
        &mut self,
        after: Option<u64>,
        budget: &BodyBudget,
    ) -> Result<Ahead, ResponseError> {
        let mut splitter = EventSplitter::after(after).within(budget, 2);
        let mut bytes_ahead = 0;
        while let Some(bytes) = self.read_ahead().await? {
            if splitter.push(&bytes).is_some() {
                return Ok(Ahead::Part);
            }
            bytes_ahead += bytes.len();
            // A server may repeat earlier events without end.
            if splitter.is_event_too_large() || MAX_EVENT_BYTES < bytes_ahead {
                return Ok(Ahead::Cut);
            }
        }
        Ok(if splitter.has_partial_event() { Ahead::Cut } else { Ahead::End })
    }

    /// Reads to the end, or about `max_bytes`.
    pub async fn read_ahead_to(&mut self, max_bytes: usize) -> Result<Ahead, ResponseError> {
        let mut bytes_ahead = 0;
        while bytes_ahead < max_bytes {
            let Some(bytes) = self.read_ahead().await? else { return Ok(Ahead::End) };
            bytes_ahead += bytes.len();
        }
        Ok(Ahead::Part)
    }

    // Returns the bytes that were read; none at the end.
    async fn read_ahead(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            let Some(frame) = self.rest.frame().await.transpose()? else { return Ok(None) };
            let Ok(bytes) = frame.into_data() else { continue };
            // A frame keeps the whole buffer that it was read into.
            let bytes = Bytes::copy_from_slice(&bytes);
            self.ahead.push_back(bytes.clone());
            return Ok(Some(bytes));
        }
    }
}
