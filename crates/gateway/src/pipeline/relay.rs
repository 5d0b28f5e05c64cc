//! Forwarding of a response as it arrives, and resumption at another backend server when its sender fails.

use std::{error, fmt, sync::Arc, time::Duration};

use bulrushhall_core::{Event, ServiceName, config::RouteKind};
use bulrushhall_external::http::{Body, BoxError};
use bulrushhall_policy::placement::WorkerKey;
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use tokio::time::timeout;

use crate::{
    clock,
    gateway::Gateway,
    pipeline::{
        EventSplitter, StreamGaps,
        attempt::{Answering, Original, SendFault, attempt, note_outcome},
        identify::Identified,
        place::{Search, place},
        serve::{UNOPENED_MOST, again, hash_of},
        settle::Trail,
    },
};

/// The longest pause in a resumable stream, as a multiple of the route's target gap; it is at least
/// [`STALL_LEAST`]. Callers give up after eight times the target gap.
const STALL_GAPS: u32 = 4;
/// The shortest pause after which a stream is resumed at another engine: the prefill of a long prompt
/// delays the other streams of its engine by some hundred milliseconds.
const STALL_LEAST: Duration = Duration::from_millis(900);

/// A `Relay` forwards a response to the caller.
pub struct Relay {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub req: Identified,
    /// The request as it was received.
    pub original: Original,
    /// The response; none between a server that failed and the next one.
    pub answering: Option<Answering>,
    /// The backend servers that the request was sent to.
    pub tried: Vec<WorkerKey>,
    /// The access log entry.
    pub trail: Trail,
    splitter: EventSplitter,
    gaps: StreamGaps,
    last: Option<u64>,
    ended: bool,
}

/// A `RelayFault` is the reason why a response was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// The backend server failed, and the response could not be resumed.
    Broken,
    /// The caller's deadline or the route's timeout was reached.
    Late,
}

impl fmt::Display for RelayFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RelayFault::Broken => "the backend server failed before the end of its response",
            RelayFault::Late => "the deadline has passed",
        })
    }
}

impl error::Error for RelayFault {}

enum Step {
    Frame(Bytes),
    Nothing,
    End,
    Broken,
}

impl Relay {
    /// Returns a relay of a response whose head has arrived.
    pub fn new(
        gateway: Arc<Gateway>,
        req: Identified,
        original: Original,
        answering: Answering,
        tried: Vec<WorkerKey>,
        trail: Trail,
    ) -> Relay {
        let last = req.call.resume_after;
        Relay {
            gateway,
            req,
            original,
            answering: Some(answering),
            tried,
            trail,
            splitter: EventSplitter::default(),
            gaps: StreamGaps::default(),
            last,
            ended: false,
        }
    }

    /// Returns the body that the caller reads.
    pub fn into_body(self) -> Body {
        let frames = unfold(self, |mut relay| async move {
            let frame = relay.next().await?;
            Some((frame.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    // An error closes the connection without the regular end of the body, so that the caller never
    // takes a partial response for a complete one.
    async fn next(&mut self) -> Option<Result<Bytes, BoxError>> {
        if self.ended {
            return None;
        }
        loop {
            if self.original.end <= clock::now() {
                return self.cut(RelayFault::Late);
            }
            if self.answering.is_none() && !self.resume().await {
                return self.cut(RelayFault::Broken);
            }
            match self.step().await {
                Step::Frame(bytes) => {
                    // hyper does not poll again after the last byte of a body of known length.
                    if self.is_whole() {
                        self.finish();
                    }
                    return Some(Ok(bytes));
                }
                Step::Nothing => continue,
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Broken => self.drop_broken(),
            }
        }
    }

    async fn step(&mut self) -> Step {
        let silence = self.silence();
        let Some(answering) = &mut self.answering else { return Step::Broken };
        let Ok(frame) = timeout(silence, answering.body.frame()).await else {
            return Step::Broken;
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Step::Broken,
            // A partial event at the end means that the stream was cut, even if the body ended regularly.
            None if self.splitter.is_within() => return Step::Broken,
            None => return Step::End,
        };
        let Ok(bytes) = frame.into_data() else { return Step::Nothing };
        answering.occupancy.note_began();
        self.trail.began();
        if !self.req.route.cfg.kind.is_stream() || !answering.head.status.is_success() {
            return Step::Frame(bytes);
        }
        let split = self.splitter.push(&bytes);
        if self.splitter.is_overfull() {
            return Step::Broken;
        }
        let Some(split) = split else { return Step::Nothing };
        self.last = split.last.or(self.last);
        self.gaps.note(clock::now(), split.events);
        Step::Frame(split.bytes)
    }

    fn is_whole(&self) -> bool {
        let ended = self.answering.as_ref().is_some_and(|answering| answering.body.is_end_stream());
        ended && !self.splitter.is_within()
    }

    // The time limit for the next frame. A server that stops sending without a reset is given up after
    // it if the stream can be resumed; no other response is ended because of a pause.
    fn silence(&self) -> Duration {
        let left = self.original.end.since(clock::now());
        if !self.may_resume() {
            return left;
        }
        let gap = self.req.route.cfg.target_gap.map_or(Duration::ZERO, Duration::from);
        let mut most = (gap * STALL_GAPS).max(STALL_LEAST);
        if let Some(answering) = &self.answering {
            most += answering.place.footprint.expected.unwrap_or_default();
        }
        most.min(left)
    }

    fn may_resume(&self) -> bool {
        self.req.route.cfg.kind == RouteKind::ResumableStream
            && self.trail.sends < self.req.route.cfg.attempts
    }

    async fn resume(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let hash = hash_of(&self.req);
        let Some(service) = self.req.route.cfg.service(hash).cloned() else { return false };
        if !again(&self.gateway, &self.req, &service, &self.trail) {
            return false;
        }
        // Engines often fail together, and some of them are not known to be dead yet. If no connection
        // could be opened, nothing was sent, so the next engine is tried.
        for _ in 0..UNOPENED_MOST {
            match self.resume_at_next(&service).await {
                Ok(answering) => {
                    self.splitter = EventSplitter::after(self.last);
                    self.answering = Some(answering);
                    return true;
                }
                Err(SendFault::NotOpened(_)) => self.trail.unsent(),
                Err(_) => return false,
            }
        }
        false
    }

    async fn resume_at_next(&mut self, service: &ServiceName) -> Result<Answering, SendFault> {
        let left = self.original.end.since(clock::now());
        let search = Search { req: &self.req, service, tried: &self.tried, left };
        // Without a backend server the request is not run again.
        let placed = place(&self.gateway, search).map_err(|_| SendFault::NotRun)?;
        self.tried.push(placed.key);
        self.trail.placed(&placed);
        tracing::info!(
            event = Event::StreamResumed.number(),
            id = self.req.call.id.as_str(),
            backend = &*placed.name,
            after = self.last
        );
        let sent =
            attempt(&self.gateway, &self.req, &self.original, &placed, self.last, left).await;
        let answering = sent.map_err(|failed| failed.fault)?;
        // An error response can't follow the events that the caller already has.
        if answering.head.status.is_success() { Ok(answering) } else { Err(SendFault::Foreign) }
    }

    fn drop_broken(&mut self) {
        let Some(answering) = self.answering.take() else { return };
        note_outcome(&self.gateway, &answering.place, false);
    }

    fn finish(&mut self) {
        self.ended = true;
        self.trail.answered();
        self.note_gaps();
        let Some(answering) = self.answering.take() else { return };
        let Answering { head, connection, place, .. } = answering;
        if !head.closing {
            place.pool.keep(clock::now(), connection, head.idle);
        }
    }

    // The gaps of a resumed stream come from two engines, so they are no sample of either.
    fn note_gaps(&self) {
        let (Some(answering), 1) = (&self.answering, self.trail.sends) else { return };
        let Some(prompt) = &self.req.call.prompt else { return };
        let Some((gap, events)) = self.gaps.measured() else { return };
        answering.occupancy.note_stream(gap, events, prompt.answer());
    }

    fn cut(&mut self, fault: RelayFault) -> Option<Result<Bytes, BoxError>> {
        self.ended = true;
        self.answering = None;
        self.trail.cut();
        Some(Err(fault.into()))
    }
}
