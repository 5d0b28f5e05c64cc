//! Passing an answer on as it comes, and going on elsewhere where its server fails.

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

/// The longest pause in a stream that may go on elsewhere, in pauses of an answer in time; and at
/// least [`STALL_LEAST`]. Callers give up after eight.
const STALL_GAPS: u32 = 4;
/// The shortest pause after which a stream goes on elsewhere: an engine that reads a long prompt in
/// between makes others wait for some hundred milliseconds.
const STALL_LEAST: Duration = Duration::from_millis(900);

/// A `Relay` is an answer on its way to the caller.
pub struct Relay {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub req: Identified,
    /// The request as it came.
    pub original: Original,
    /// The answer; none between a server that failed and the next one.
    pub answering: Option<Answering>,
    /// The backend servers that got the request.
    pub tried: Vec<WorkerKey>,
    /// What is told at the end.
    pub trail: Trail,
    splitter: EventSplitter,
    gaps: StreamGaps,
    last: Option<u64>,
    ended: bool,
}

/// A `RelayFault` tells why an answer was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// The backend server broke off.
    Broken,
    /// The time of the route or of the caller is over.
    Late,
}

impl fmt::Display for RelayFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RelayFault::Broken => "the backend server broke off",
            RelayFault::Late => "the time is over",
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
    /// Returns a relay of an answer whose head is there.
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

    // An error ends the connection without the regular end of the body, so that a part of an answer
    // is never taken for the whole.
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
                    // Nobody asks for more after the last byte of a body of known length.
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
            // An event that has begun belongs to a stream that was cut, however its body ended.
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

    // How long the next part may take. A server that went silent without a reset is left after this
    // where the stream may go on elsewhere; silence is no reason to end any other answer.
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
        // What took one engine mostly took others with it, and some of these are not known to be gone
        // yet. Nothing was sent where no connection could be opened, so the next one is tried.
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
        // Where no engine is left, nobody runs it.
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
        // A failure can't follow the events that the caller has.
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

    // A stream that went on elsewhere was written by two engines and tells of neither.
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
