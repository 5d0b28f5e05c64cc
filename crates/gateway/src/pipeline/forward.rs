//! Forwarding of a response as it arrives, and resumption at another backend server when its sender fails.

use std::{error, fmt, sync::Arc, time::Duration};

use bulrushhall_core::{Stamp, config::RouteKind};
use bulrushhall_external::http::{Body, BoxError};
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{error::Elapsed, timeout};

use crate::{
    clock,
    crashes::{
        AnswerSpan, EndedAnswer, REMOVAL_TIME, SentRequest, UnmarkedEnd, log_broken_answer,
        note_answer_progress, note_whole_answer, server_hash, unmarked_end,
    },
    gateway::Gateway,
    pipeline::{
        EventSplitter, StreamGaps,
        access_log::AccessLogEntry,
        attempt::{BackendResponse, OriginalRequest, note_outcome},
        binding::Binding,
        events::CompleteEvents,
        identify::IdentifiedRequest,
        response_body::BodyFrame,
        send::{RequestSender, SendAim},
        silence::{SilenceStage, log_silence_end},
        silence_race::{RaceEnd, SilenceRace},
        tried::TriedServers,
    },
    streams::note_first_event,
};

/// The longest pause in a resumable stream, as a multiple of the route's target gap; it is at least
/// [`MIN_STALL`]. Callers give up after eight times the target gap.
const STALL_GAPS: u32 = 4;
/// The shortest pause after which a stream is resumed at another engine: the prefill of a long prompt
/// delays the other streams of its engine by some hundred milliseconds.
const MIN_STALL: Duration = Duration::from_millis(900);
/// The longest wait for a proof that a stream is whole before it is resumed; a resumption costs a prefill.
const RESUMPTION_DELAY: Duration = Duration::from_millis(300);

// Waits for the next frame of a body; a pause may mean that its server has ended behind a link that is cut.
async fn next_frame(
    backend_response: &mut BackendResponse,
    limit: Duration,
) -> Result<BodyFrame, Elapsed> {
    let BackendResponse { body, sent, .. } = backend_response;
    let Some(sent) = sent else { return timeout(limit, body.frame()).await };
    let stall = MIN_STALL.min(limit);
    if let Ok(frame) = timeout(stall, body.frame()).await {
        return Ok(frame);
    }
    sent.note_stalled(clock::now() - stall);
    timeout(limit.saturating_sub(stall), body.frame()).await
}

/// The maximum size of a response that is no stream, in bytes.
const MAX_PLAIN_BYTES: usize = 16 << 20;
/// The events of a stream that need not hold a token.
const SPARE_EVENTS: u32 = 64;

/// A `ResponseForwarder` forwards a response to the caller.
pub struct ResponseForwarder {
    /// The node.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub req: IdentifiedRequest,
    /// The request as it was received.
    pub original: OriginalRequest,
    /// The response; none between a server that failed and the next one.
    pub backend_response: Option<BackendResponse>,
    /// The backend servers that the request was sent to.
    pub tried: TriedServers,
    /// The access log entry.
    pub log_entry: AccessLogEntry,
    /// Whether the response is a stream of events.
    forwards_events: bool,
    splitter: EventSplitter,
    gaps: StreamGaps,
    last_event: Option<u64>,
    binding: Binding,
    /// Whether one of its events was passed on in this response.
    is_begun: bool,
    /// When the last event or, if it is no stream, the last bytes arrived from this backend server.
    progressed_at: Stamp,
    /// When the first event of this backend server arrived, until the answer is known to be written for long.
    begun_at: Option<Stamp>,
    /// The bytes and events of the response of this backend server.
    received: Received,
    /// The hash of the server that broke off the response last, and how many have.
    broken_by: u64,
    breaks: u32,
    ended: bool,
}

/// A `ForwardError` is the reason why a response was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// The backend server failed, and the response could not be resumed.
    Broken,
    /// The caller's deadline or the route's timeout was reached.
    TimedOut,
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ForwardError::Broken => "the backend server failed before the end of its response",
            ForwardError::TimedOut => "the deadline has passed",
        })
    }
}

impl error::Error for ForwardError {}

enum Step {
    Frame(Bytes),
    Nothing,
    End,
    Broken,
    /// The body is larger than any answer, and part of it was passed on.
    Endless,
}

#[derive(Clone, Copy, Debug, Default)]
struct Received {
    bytes: usize,
    events: u32,
}

impl ResponseForwarder {
    /// Returns a forwarder of a response whose head has arrived.
    pub fn new(
        gateway: Arc<Gateway>,
        req: IdentifiedRequest,
        original: OriginalRequest,
        backend_response: BackendResponse,
        tried: TriedServers,
        log_entry: AccessLogEntry,
    ) -> ResponseForwarder {
        let last_event = req.call.resume_after;
        let binding = req.origin.clone().map_or(Binding::Free, Binding::Bound);
        let is_success = backend_response.head.status.is_success();
        let forwards_events = req.route.cfg.kind.is_stream() && is_success;
        let splitter = EventSplitter::default().within(&gateway.events, 1);
        ResponseForwarder {
            gateway,
            req,
            original,
            backend_response: Some(backend_response),
            tried,
            log_entry,
            forwards_events,
            splitter,
            gaps: StreamGaps::default(),
            last_event,
            binding,
            is_begun: false,
            progressed_at: clock::now(),
            begun_at: None,
            received: Received::default(),
            broken_by: 0,
            breaks: 0,
            ended: false,
        }
    }

    /// Returns the body that the caller reads.
    pub fn into_body(self) -> Body {
        let frames = unfold(self, |mut forwarder| async move {
            let frame = forwarder.next().await?;
            Some((frame.map(Frame::data), forwarder))
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
            if self.original.deadline <= clock::now() {
                return self.cut(ForwardError::TimedOut);
            }
            if self.backend_response.is_none() && !self.resume().await {
                return self.cut(ForwardError::Broken);
            }
            match self.step().await {
                Step::Frame(bytes) => {
                    // hyper does not poll again after the last byte of a body of known length.
                    if self.is_complete() {
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
                Step::Endless => {
                    self.drop_broken();
                    return self.cut(ForwardError::Broken);
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let frame_timeout = self.frame_timeout();
        let Some(backend_response) = &mut self.backend_response else { return Step::Broken };
        match next_frame(backend_response, frame_timeout).await {
            Ok(frame) => self.accept(frame).await,
            Err(_) if self.may_resume() => self.outlast_silence().await,
            // The time of the request is over.
            Err(_) => Step::Nothing,
        }
    }

    async fn accept(&mut self, frame: BodyFrame) -> Step {
        let Some(backend_response) = &mut self.backend_response else { return Step::Broken };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) if error.is_fault() => return self.not_crashed(),
            Some(Err(_)) => return self.broken_off(),
            // A partial event at the end means that the stream was cut, even if the body ended regularly.
            None if self.splitter.has_partial_event() => return self.broken_off(),
            None if backend_response.has_marked_end() => return self.end(),
            None => return self.unmarked_end().await,
        };
        let Ok(bytes) = frame.into_data() else { return Step::Nothing };
        if let Some(sent) = &mut backend_response.sent {
            sent.note_bytes(&bytes);
        }
        self.received.bytes += bytes.len();
        if !self.forwards_events {
            if MAX_PLAIN_BYTES < self.received.bytes {
                return Step::Endless;
            }
            backend_response.in_flight.note_started();
            self.log_entry.note_started();
            self.progressed_at = clock::now();
            return Step::Frame(bytes);
        }
        let split = self.splitter.push(&bytes);
        if self.splitter.is_event_too_large() {
            return self.not_crashed();
        }
        let Some(split) = split else { return Step::Nothing };
        self.accept_events(split)
    }

    fn accept_events(&mut self, split: CompleteEvents) -> Step {
        let max_events = self.max_events();
        let Some(backend_response) = &mut self.backend_response else { return Step::Broken };
        if self.received.events == 0 {
            note_outcome(&self.gateway, &backend_response.placement, true);
            self.begun_at = Some(clock::now());
        }
        let begun_at = (backend_response.begun_at, self.begun_at);
        if let (head_at, Some(event_at)) = begun_at
            && note_answer_progress(&self.gateway, &self.req, (head_at, event_at))
        {
            self.begun_at = None;
        }
        self.received.events = self.received.events.saturating_add(split.events);
        if max_events < self.received.events {
            return self.not_crashed();
        }
        backend_response.in_flight.note_started();
        self.log_entry.note_started();
        self.progressed_at = clock::now();
        self.last_event = split.last_id.or(self.last_event);
        self.bind();
        self.gaps.note(clock::now(), split.events);
        self.log_entry.longest_gap = self.gaps.longest();
        Step::Frame(split.bytes)
    }

    // Keeps a silent server until it goes on or another one has answered.
    async fn outlast_silence(&mut self) -> Step {
        let Some(mut silent) = self.backend_response.take() else { return Step::Broken };
        let (placement, since) = (silent.placement.clone(), self.progressed_at);
        let server = server_hash(&placement.name, placement.born);
        let aim = self.rest(server, self.breaks + 1);
        let left = self.left();
        let ResponseForwarder { gateway, req, original, tried, log_entry, splitter, .. } = self;
        let Some(service) = req.service() else { return Step::Broken };
        let sender = RequestSender::new((gateway, req), original, service, (tried, log_entry), aim)
            .after_silence(placement.clone(), clock::now().since(since));
        let end = SilenceRace { silent: &mut silent, splitter, sender, left }.run().await;
        let lasted = (SilenceStage::Body, clock::now().since(since));
        log_silence_end(&self.req, &placement, lasted, end.silence_end());
        self.backend_response = Some(silent);
        match end {
            RaceEnd::Events(events) => self.accept_events(events),
            RaceEnd::TooLarge => self.not_crashed(),
            RaceEnd::Ended(frame) => self.accept(frame).await,
            RaceEnd::TakenOver(backend_response) => {
                self.drop_broken();
                self.begin_rest(*backend_response);
                Step::Nothing
            }
            RaceEnd::Late => Step::Nothing,
        }
    }

    // What is to be sent to another server after one broke off the stream or is silent.
    fn rest(&self, broken_by: u64, breaks: u32) -> SendAim {
        let origin = self.binding.origin().cloned();
        SendAim::Rest { after: self.last_event, origin, broken_by, breaks }
    }

    fn begin_rest(&mut self, backend_response: BackendResponse) {
        self.splitter = EventSplitter::after(self.last_event).within(&self.gateway.events, 1);
        (self.progressed_at, self.received) = (clock::now(), Received::default());
        self.begun_at = None;
        self.backend_response = Some(backend_response);
    }

    fn broken_off(&mut self) -> Step {
        if let Some(BackendResponse { placement, sent, .. }) = &mut self.backend_response {
            let began_at = sent.as_ref().and_then(SentRequest::began_at);
            log_broken_answer(&self.req, placement, began_at);
            if let Some(sent) = sent {
                sent.note_broken();
            }
        }
        Step::Broken
    }

    fn end(&mut self) -> Step {
        self.splitter.take_rest().map_or(Step::End, Step::Frame)
    }

    // An answer without a mark of its end may have been cut between two events.
    async fn unmarked_end(&mut self) -> Step {
        let Some(backend_response) = &self.backend_response else { return Step::Broken };
        let placement = &backend_response.placement;
        let answer = EndedAnswer {
            key: placement.key,
            name: &placement.name,
            pool: &placement.pool,
            life: backend_response.connection.life(),
        };
        match timeout(self.left(), unmarked_end(&self.gateway, answer)).await {
            Ok(UnmarkedEnd::Whole) => self.end(),
            Ok(UnmarkedEnd::Crashed) => self.broken_off(),
            Ok(UnmarkedEnd::Unproven(departure))
                if departure.is_in_order(self.removal_wait()).await =>
            {
                self.settle();
                self.end()
            }
            Ok(UnmarkedEnd::Unproven(_)) | Err(_) => self.not_crashed(),
        }
    }

    // A stream that may be resumed has not much time for a proof that it is whole.
    fn removal_wait(&self) -> Duration {
        let wait = if self.may_resume() { RESUMPTION_DELAY } else { REMOVAL_TIME };
        wait.min(self.left())
    }

    fn left(&self) -> Duration {
        self.original.deadline.since(clock::now())
    }

    // What the server has sent is no whole answer, though it has not crashed.
    fn not_crashed(&mut self) -> Step {
        self.settle();
        Step::Broken
    }

    fn settle(&mut self) {
        if let Some(sent) = self.backend_response.as_mut().and_then(|it| it.sent.as_mut()) {
            sent.settle();
        }
    }

    // An event holds a token at least, but for a few.
    fn max_events(&self) -> u32 {
        let tokens = self.req.call.prompt.as_ref().map(|prompt| prompt.max_answer_tokens);
        tokens.map_or(u32::MAX, |tokens| tokens.saturating_mul(2).saturating_add(SPARE_EVENTS))
    }

    // Binds the stream to the version of the event that is about to be passed on, if it is the first one.
    fn bind(&mut self) {
        let Some(backend_response) = &self.backend_response else { return };
        if self.is_begun || self.req.route.cfg.kind != RouteKind::ResumableStream {
            return;
        }
        self.is_begun = true;
        if self.binding == Binding::Free {
            let placement = &backend_response.placement;
            self.binding = self.gateway.with(|state| Binding::of_first_event(state, placement));
        }
        note_first_event(&self.gateway, &self.req, &self.binding);
    }

    fn is_complete(&self) -> bool {
        let ended = self
            .backend_response
            .as_ref()
            .is_some_and(|backend_response| backend_response.body.is_end_stream());
        ended && self.splitter.is_empty()
    }

    // Returns the time limit for the next frame. If the stream can be resumed, a server that stops sending
    // without resetting the connection is abandoned after it; other responses may pause until the deadline.
    fn frame_timeout(&self) -> Duration {
        let left = self.left();
        if !self.may_resume() {
            return left;
        }
        let gap = self.req.route.cfg.target_gap.map_or(Duration::ZERO, Duration::from);
        let mut max = (gap * STALL_GAPS).max(MIN_STALL);
        if let Some(backend_response) = &self.backend_response {
            max += backend_response.placement.footprint.expected.unwrap_or_default();
        }
        // Comments are no progress.
        max.saturating_sub(clock::now().since(self.progressed_at)).min(left)
    }

    fn may_resume(&self) -> bool {
        self.forwards_events
            && self.req.route.cfg.kind == RouteKind::ResumableStream
            && self.binding != Binding::Uncertain
            && self.log_entry.sends < self.req.route.cfg.attempts
    }

    async fn resume(&mut self) -> bool {
        if !self.may_resume() {
            return false;
        }
        let aim = self.rest(self.broken_by, self.breaks);
        let ResponseForwarder { gateway, req, original, tried, log_entry, .. } = self;
        let Some(service) = req.service() else { return false };
        let state = (tried, log_entry);
        let mut sender = RequestSender::new((gateway, req), original, service, state, aim);
        let sent = sender.send().await;
        drop(sender);
        match sent {
            Ok(backend_response) => self.begin_rest(backend_response),
            Err(_) => return false,
        }
        true
    }

    fn drop_broken(&mut self) {
        let Some(mut backend_response) = self.backend_response.take() else { return };
        backend_response.in_flight.note_failed();
        let placement = &backend_response.placement;
        note_outcome(&self.gateway, placement, false);
        self.broken_by = server_hash(&placement.name, placement.born);
        self.breaks += 1;
    }

    fn finish(&mut self) {
        self.ended = true;
        self.log_entry.note_complete();
        self.note_gaps();
        let Some(mut backend_response) = self.backend_response.take() else { return };
        let is_delimited = backend_response.is_delimited();
        if backend_response.head.status.is_success() {
            let is_resumed = 0 < self.breaks || self.req.call.resume_after.is_some();
            let span = if is_resumed { AnswerSpan::Resumed } else { AnswerSpan::Whole };
            let begun_at = backend_response.begun_at;
            note_whole_answer(&self.gateway, &self.req, (span, begun_at), is_delimited);
        }
        match &mut backend_response.sent {
            Some(sent) if is_delimited => sent.settle(),
            Some(sent) => sent.note_unmarked(),
            None => {}
        }
        let BackendResponse { head, connection, placement, .. } = backend_response;
        if !head.closing {
            placement.pool.keep(clock::now(), connection, head.idle);
        }
    }

    // The gaps of a resumed stream come from two engines, so they are not a valid sample of either.
    fn note_gaps(&self) {
        let (Some(backend_response), 1) = (&self.backend_response, self.log_entry.sends) else {
            return;
        };
        let Some(prompt) = &self.req.call.prompt else { return };
        let Some((gap, events)) = self.gaps.median() else { return };
        backend_response.in_flight.note_stream(gap, events, prompt.answer());
    }

    fn cut(&mut self, fault: ForwardError) -> Option<Result<Bytes, BoxError>> {
        self.ended = true;
        self.backend_response = None;
        self.log_entry.note_cut();
        Some(Err(fault.into()))
    }
}
