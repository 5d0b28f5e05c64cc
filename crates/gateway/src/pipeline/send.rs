//! Sending of a request to one backend server after the other until one answers.

use std::{future::pending, pin::Pin, sync::Arc, time::Duration};

use bulrushhall_coord::{Attempts, streams::StreamOrigin};
use bulrushhall_core::{Event, Ran, ServiceName, Stamp, config::RouteKind};
use bulrushhall_policy::rollout::Track;
use futures_util::future::select_all;
use tokio::{sync::oneshot, time::sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backends::OpenError,
    clock,
    crashes::{may_repeat, send_refusal, server_hash},
    gateway::Gateway,
    pipeline::{
        Failure,
        access_log::AccessLogEntry,
        attempt::{
            BackendResponse, OriginalRequest, SendError, SendFault, SilenceLimit, attempt,
            note_unanswered,
        },
        identify::IdentifiedRequest,
        placement::{BRITTLE_RETRY_AFTER, Placement, PlacementQuery, Way},
        queueing::Queueing,
        room_search::RoomSearch,
        silence::{NoTakeover, SilenceEnd, SilenceStage, log_silence_end, log_silent},
        tried::TriedServers,
    },
    rollouts::AttemptEnd,
    waiting::place_or_wait,
};

/// The timeout after which an idempotent call is sent to another server, as a multiple of the service's
/// 95th percentile: a call that is merely slow is not worth a second one.
const CALL_TIMEOUT_FACTOR: u32 = 2;
/// The minimum of this timeout: a healthy node may stall that long.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum of this timeout is the remaining time divided by this number: the second attempt needs
/// time too.
const CALL_TIMEOUT_DIVISOR: u32 = 3;
/// The time beyond the expected first token after which a resumable stream is sent to another engine.
const ENGINE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The seed of the hash that chooses between versions, which has to differ from that for services.
const TRACK_SEED: u64 = 1;
/// The number of failed connection attempts after which a request is given up.
const MAX_CONNECT_FAILURES: usize = 4;
/// The number of nodes without room for a request after which it is refused.
const MAX_FULL_FAILURES: usize = 6;
/// The number of failed connection attempts after which another node carries a request.
const MAX_OWN_CONNECT_FAILURES: usize = 2;
/// The time after which it is checked again whether another server can take over from a silent one.
pub const TAKEOVER_RECHECK: Duration = Duration::from_millis(300);

/// A `SendAim` is what a request is sent for.
#[derive(Clone, Debug)]
pub enum SendAim {
    /// Its answer, whatever its status is.
    Answer,
    /// The rest of its stream, of which the caller has events.
    Rest {
        /// The last event that the caller has.
        after: Option<u64>,
        /// Where the stream began.
        origin: Option<StreamOrigin>,
        /// The hash of the server that broke off the stream or is silent, and how many have.
        broken_by: u64,
        breaks: u32,
    },
}

/// A `NotSent` is the reason why no backend server answers a request.
#[derive(Clone, Copy, Debug)]
pub struct NotSent {
    /// The response that its caller gets.
    pub failure: Failure,
    /// Why it is not sent to another server.
    pub reason: NoTakeover,
}

/// A `RequestSender` sends a request to backend servers until one answers.
///
/// A server that is silent for too long keeps the request until another one has answered: all servers may be silent for a
/// moment, or none may take over.
pub struct RequestSender<'a> {
    /// The node.
    pub gateway: &'a Arc<Gateway>,
    /// The request.
    pub req: &'a IdentifiedRequest,
    /// The request as it was received.
    pub original: &'a OriginalRequest,
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// The backend servers that it was sent to.
    pub tried: &'a mut TriedServers,
    /// The access log entry.
    pub log_entry: &'a mut AccessLogEntry,
    /// Whether it has run, over all attempts.
    pub attempts: Attempts,
    /// An error response, which is forwarded if no retry replaces it.
    pub error_response: Option<BackendResponse>,
    aim: SendAim,
    connect_failures: usize,
    search: RoomSearch,
    last_end: AttemptEnd,
    /// The server that broke off or is silent, if the last attempt ended so.
    suspect: Option<u64>,
    breaks: u32,
    /// Whether the next attempt is a retry that is not paid for yet.
    is_retry: bool,
    /// The attempts whose servers are silent.
    silent: Vec<OpenAttempt<'a>>,
    silence: Option<Silence>,
}

/// An attempt that has not ended.
struct OpenAttempt<'a> {
    placement: Placement,
    began: Stamp,
    answer: Pin<Box<dyn Future<Output = Result<BackendResponse, SendError>> + Send + 'a>>,
}

/// The silence of a server, until another one has got its request.
struct Silence {
    placement: Placement,
    stage: SilenceStage,
    lasted: Duration,
    logged: Option<NoTakeover>,
}

/// A response that ends the search; none if the request may be sent again.
type Answer = Option<BackendResponse>;

impl<'a> RequestSender<'a> {
    /// Returns a sender of a request that has not been sent, or whose answer was broken off.
    pub fn new(
        (gateway, req): (&'a Arc<Gateway>, &'a IdentifiedRequest),
        original: &'a OriginalRequest,
        service: &'a ServiceName,
        (tried, log_entry): (&'a mut TriedServers, &'a mut AccessLogEntry),
        aim: SendAim,
    ) -> RequestSender<'a> {
        let (suspect, breaks) = match aim {
            SendAim::Answer => (None, 0),
            SendAim::Rest { broken_by, breaks, .. } => (Some(broken_by), breaks),
        };
        RequestSender {
            gateway,
            req,
            original,
            service,
            tried,
            log_entry,
            attempts: Attempts::default(),
            error_response: None,
            connect_failures: 0,
            search: RoomSearch::default(),
            last_end: AttemptEnd::default(),
            is_retry: suspect.is_some(),
            suspect,
            breaks,
            silent: Vec::new(),
            silence: None,
            aim,
        }
    }

    /// Notes that the server of the stream has been silent for a time.
    pub fn after_silence(self, placement: Placement, lasted: Duration) -> RequestSender<'a> {
        let stage = SilenceStage::Body;
        RequestSender { silence: Some(Silence { placement, stage, lasted, logged: None }), ..self }
    }

    /// Sends the request until a server answers.
    pub async fn send(&mut self) -> Result<BackendResponse, NotSent> {
        self.connect_failures = 0;
        loop {
            let not_sent = match self.send_next().await {
                Ok(Some(response)) => return Ok(self.answered(response)),
                Ok(None) => continue,
                Err(not_sent) => not_sent,
            };
            self.log_silence(Err(not_sent.reason));
            let left = self.left();
            if self.silent.is_empty() || self.error_response.is_some() || left.is_zero() {
                return Err(self.give_up(not_sent));
            }
            tokio::select! {
                biased;
                (index, answer) = any_answer(&mut self.silent) => {
                    if let Some(response) = self.silent_ended(index, answer) {
                        return Ok(self.answered(response));
                    }
                }
                () = sleep(TAKEOVER_RECHECK.min(left)) => {}
            }
        }
    }

    // Sends the request to another server, and waits until that, or a silent one, answers, fails or is silent for too long.
    async fn send_next(&mut self) -> Result<Answer, NotSent> {
        let (gateway, req) = (self.gateway, self.req);
        if let Some(failure) = send_refusal(gateway, req, self.log_entry.sends) {
            return Err(NotSent { failure, reason: NoTakeover::Blocked });
        }
        let began = clock::now();
        if self.left().is_zero() {
            let failure = Failure::TimedOut(self.attempts.ran());
            return Err(NotSent { failure, reason: NoTakeover::Late });
        }
        self.check_retry().await?;
        let placement = self.place().await?;
        self.pay_for_retry(&placement)?;
        self.log_silence(Ok(()));
        let (mut open, mut silent_for_long) = self.begin(placement, began);
        loop {
            tokio::select! {
                biased;
                answer = &mut open.answer => return self.ended(open, answer),
                (index, answer) = any_answer(&mut self.silent) => {
                    if let Some(response) = self.silent_ended(index, answer) {
                        note_unanswered(self.req, &open.placement, clock::now().since(open.began));
                        return Ok(Some(response));
                    }
                }
                _ = &mut silent_for_long => {
                    self.note_silent(open);
                    return Ok(None);
                }
            }
        }
    }

    // Checks whether the request may be sent again, if the next attempt is a retry.
    async fn check_retry(&mut self) -> Result<(), NotSent> {
        if !self.is_retry {
            return Ok(());
        }
        let rejected = |reason| NotSent { failure: Failure::Rejected, reason };
        if !self.attempts.may_retry() && !self.req.route.cfg.kind.may_run_again() {
            return Err(rejected(NoTakeover::NotRepeatable));
        }
        if self.req.route.cfg.attempts <= self.log_entry.sends {
            return Err(rejected(NoTakeover::Attempts));
        }
        if let Some(server) = self.suspect
            && !may_repeat(self.gateway, self.req, server, self.breaks).await
        {
            return Err(rejected(NoTakeover::Blocked));
        }
        if self.retries_left() == 0 {
            self.log_refused_retry();
            return Err(rejected(NoTakeover::Budget));
        }
        Ok(())
    }

    fn retries_left(&self) -> u32 {
        let limit = self.gateway.retry_limit();
        self.gateway.with(|state| {
            let nodes = state.members.count();
            let budget = state.retry_budgets.entry(self.service.clone()).or_default();
            budget.remaining(clock::now(), limit, nodes)
        })
    }

    // Takes the retry from the budget once there is a server for it.
    fn pay_for_retry(&mut self, placement: &Placement) -> Result<(), NotSent> {
        if !self.is_retry {
            return Ok(());
        }
        let limit = self.gateway.retry_limit();
        let is_paid = self.gateway.with(|state| {
            let nodes = state.members.count();
            let budget = state.retry_budgets.entry(self.service.clone()).or_default();
            let is_paid = budget.take(clock::now(), limit, nodes);
            if let (false, Some(backend)) = (is_paid, state.backends.get_mut(placement.key)) {
                backend.announced.refund_request();
            }
            is_paid
        });
        if !is_paid {
            self.log_refused_retry();
            return Err(NotSent { failure: Failure::Rejected, reason: NoTakeover::Budget });
        }
        self.is_retry = false;
        Ok(())
    }

    // A silence is checked again and again, but its first line tells that there is no budget.
    fn log_refused_retry(&self) {
        if self.silence.as_ref().is_some_and(|silence| silence.logged == Some(NoTakeover::Budget)) {
            return;
        }
        tracing::info!(
            event = Event::RepeatRefused.number(),
            id = self.req.call.id.as_str(),
            service = self.service.as_str(),
            sends = self.log_entry.sends
        );
    }

    async fn place(&mut self) -> Result<Placement, NotSent> {
        let (gateway, req) = (self.gateway, self.req);
        let origin = match &self.aim {
            SendAim::Answer => req.origin.as_ref(),
            SendAim::Rest { origin, .. } => origin.as_ref(),
        };
        let track = match (origin, self.tried.is_empty()) {
            (Some(_), _) => Track::Current,
            (None, true) => first_track(gateway, req, self.service),
            (None, false) => retry_track(gateway, self.service, self.last_end),
        };
        // Another server may be unreachable as well, and each attempt to connect takes time.
        let is_own = self.connect_failures < MAX_OWN_CONNECT_FAILURES;
        let query = PlacementQuery {
            req,
            service: self.service,
            tried: self.tried,
            left: self.left(),
            track,
            way: if is_own { Way::Own } else { Way::Carried },
            origin,
            queueing: Queueing::Never,
        };
        let deadline = self.original.deadline;
        let placed = place_or_wait(gateway, query, deadline, self.log_entry).await;
        placed.map_err(|failure| {
            let is_of_version = matches!(failure, Failure::VersionUnavailable);
            let reason = if is_of_version { NoTakeover::Version } else { NoTakeover::NoServer };
            NotSent { failure, reason }
        })
    }

    fn begin(
        &mut self,
        placement: Placement,
        began: Stamp,
    ) -> (OpenAttempt<'a>, oneshot::Receiver<()>) {
        let left = self.left();
        self.tried.note(placement.key);
        self.log_entry.note_attempt(&placement);
        self.attempts.begin();
        let after = match &self.aim {
            SendAim::Answer => self.req.call.resume_after,
            SendAim::Rest { after, .. } => {
                self.log_resumption(&placement, *after);
                *after
            }
        };
        let (exceeded, silent_for_long) = oneshot::channel();
        let limit = response_timeout(self.req, &placement, self.log_entry.sends, left).min(left);
        let limit = SilenceLimit { after: limit, exceeded };
        let (gateway, req, original, at) =
            (self.gateway, self.req, self.original, placement.clone());
        let answer = async move { attempt(gateway, req, original, &at, after, limit).await };
        (OpenAttempt { placement, began, answer: Box::pin(answer) }, silent_for_long)
    }

    fn log_resumption(&self, placement: &Placement, after: Option<u64>) {
        tracing::info!(
            event = Event::StreamResumed.number(),
            id = self.req.call.id.as_str(),
            backend = &*placement.name,
            version = &*placement.version,
            after
        );
    }

    // Goes on waiting for a server that is silent while another one is looked for.
    fn note_silent(&mut self, open: OpenAttempt<'a>) {
        let lasted = clock::now().since(open.began);
        let placement = open.placement.clone();
        self.suspect = Some(server_hash(&placement.name, placement.born));
        self.breaks += 1;
        self.is_retry = true;
        self.last_end = AttemptEnd::Other;
        let stage = SilenceStage::Head;
        self.silence = Some(Silence { placement, stage, lasted, logged: None });
        self.silent.push(open);
    }

    fn silent_ended(&mut self, index: usize, answer: Result<BackendResponse, SendError>) -> Answer {
        let OpenAttempt { placement, began, .. } = self.silent.swap_remove(index);
        let lasted = clock::now().since(began);
        let end = if answer.is_ok() { SilenceEnd::WentOn } else { SilenceEnd::Closed };
        log_silence_end(self.req, &placement, (SilenceStage::Head, lasted), end);
        match answer {
            Ok(response) => self.take_response(response),
            Err(failed) => {
                self.attempts.end(failed.ran);
                self.note_unsent(failed, &placement);
                None
            }
        }
    }

    // Takes what the attempt that began last has brought.
    fn ended(
        &mut self,
        open: OpenAttempt<'a>,
        answer: Result<BackendResponse, SendError>,
    ) -> Result<Answer, NotSent> {
        match answer {
            Ok(response) => Ok(self.take_response(response)),
            Err(failed) => self.failed(failed, &open.placement, open.began).map(|()| None),
        }
    }

    fn take_response(&mut self, mut response: BackendResponse) -> Answer {
        self.attempts.end(Ran::Yes);
        let status = response.head.status;
        let is_rest = matches!(self.aim, SendAim::Rest { .. });
        // An error response can't follow the events that the caller already has.
        if is_rest && !status.is_success() {
            if let Some(sent) = &mut response.sent {
                sent.settle();
            }
            (self.is_retry, self.suspect, self.last_end) = (true, None, AttemptEnd::Other);
            return None;
        }
        if status.is_server_error() && self.req.route.cfg.kind.may_run_again() {
            self.error_response = Some(response);
            (self.is_retry, self.suspect, self.last_end) = (true, None, AttemptEnd::Other);
            return None;
        }
        Some(response)
    }

    // Decides whether another server is tried after an attempt that got no response.
    fn failed(
        &mut self,
        failed: SendError,
        placement: &Placement,
        began: Stamp,
    ) -> Result<(), NotSent> {
        let (gateway, fault) = (self.gateway, failed.fault);
        self.last_end = fault.attempt_end();
        self.attempts.end(failed.ran);
        let is_searching = is_refused_for_room(gateway, self.service, fault, placement);
        let is_search_over = is_searching && self.search.note_refusal(began, clock::now());
        let no_room = NotSent {
            failure: Failure::ServersLimited(BRITTLE_RETRY_AFTER),
            reason: NoTakeover::NoServer,
        };
        let is_full = fault == SendFault::NotOpened(OpenError::Full);
        self.note_unsent(failed, placement);
        if fault.is_not_opened() {
            // The room at a brittle server is used up at one node, and may not be at the next one.
            if placement.carrier.is_some() && is_full {
                let is_over = MAX_FULL_FAILURES <= self.tried.full_count() || is_search_over;
                return if is_over { Err(no_room) } else { Ok(()) };
            }
            if is_search_over {
                return Err(no_room);
            }
            self.connect_failures += 1;
            if self.connect_failures < MAX_CONNECT_FAILURES {
                return Ok(());
            }
            let failure = Failure::NoBackend;
            return Err(NotSent { failure, reason: NoTakeover::NoServer });
        }
        if fault == SendFault::Blocked {
            let refusal = send_refusal(gateway, self.req, self.log_entry.sends);
            let failure = refusal.unwrap_or(Failure::PartBlocked);
            return Err(NotSent { failure, reason: NoTakeover::Blocked });
        }
        if is_search_over && !self.left().is_zero() {
            return Err(no_room);
        }
        self.is_retry = true;
        self.suspect = None;
        // A server that closed the connection may have crashed.
        if fault == SendFault::Closed {
            self.breaks += 1;
            self.suspect = Some(server_hash(&placement.name, placement.born));
        }
        Ok(())
    }

    // What did not reach a backend server does not count as an attempt.
    fn note_unsent(&mut self, failed: SendError, placement: &Placement) {
        if !failed.fault.is_not_opened() {
            return;
        }
        self.log_entry.note_unsent();
        match &placement.carrier {
            None => self.tried.note_unopened(placement.key),
            Some(node) if failed.fault == SendFault::NotOpened(OpenError::Full) => {
                self.tried.note_full(placement.key, node.clone());
            }
            Some(_) => {}
        }
    }

    // Gives up the servers that are still silent.
    fn answered(&mut self, response: BackendResponse) -> BackendResponse {
        self.abandon_silent(SilenceEnd::TakenOver);
        response
    }

    fn give_up(&mut self, not_sent: NotSent) -> NotSent {
        let failure = if self.left().is_zero() {
            Failure::TimedOut(self.attempts.ran())
        } else {
            unless_run(not_sent.failure, &self.attempts)
        };
        let is_answered = self.error_response.is_some();
        let end = if is_answered { SilenceEnd::TakenOver } else { SilenceEnd::Late };
        self.abandon_silent(end);
        NotSent { failure, ..not_sent }
    }

    fn abandon_silent(&mut self, end: SilenceEnd) {
        for open in self.silent.drain(..) {
            let lasted = clock::now().since(open.began);
            log_silence_end(self.req, &open.placement, (SilenceStage::Head, lasted), end);
            note_unanswered(self.req, &open.placement, lasted);
        }
    }

    // Logs whether another server takes over from a silent one, each outcome once.
    fn log_silence(&mut self, takeover: Result<(), NoTakeover>) {
        let Some(silence) = &mut self.silence else { return };
        if takeover.is_err() && silence.logged == takeover.err() {
            return;
        }
        let lasted = (silence.stage, silence.lasted);
        log_silent(self.req, &silence.placement, lasted, takeover);
        silence.logged = takeover.err();
        if takeover.is_ok() {
            self.silence = None;
        }
    }

    fn left(&self) -> Duration {
        self.original.deadline.since(clock::now())
    }
}

// Waits until one of several attempts ends; forever if there are none.
async fn any_answer(open: &mut [OpenAttempt<'_>]) -> (usize, Result<BackendResponse, SendError>) {
    if open.is_empty() {
        return pending().await;
    }
    let (answer, index, _) = select_all(open.iter_mut().map(|open| open.answer.as_mut())).await;
    (index, answer)
}

// Returns whether a brittle server, or a node that was to carry the request there, has refused it. That this node could not
// open a connection says nothing of the room.
fn is_refused_for_room(
    gateway: &Gateway,
    service: &ServiceName,
    fault: SendFault,
    placement: &Placement,
) -> bool {
    let is_refused = match fault {
        SendFault::NotRun => true,
        SendFault::NotOpened(_) => placement.carrier.is_some(),
        _ => false,
    };
    is_refused && gateway.with(|state| state.brittle.get(service).is_some())
}

// Only the first attempt may go to a version that is being rolled out: retries would add to its share.
fn first_track(gateway: &Gateway, req: &IdentifiedRequest, service: &ServiceName) -> Track {
    let hash = xxh3_64_with_seed(req.call.id.as_bytes(), TRACK_SEED);
    let is_bound = req.is_bound();
    gateway.with(|state| state.rollouts.track(clock::now(), service, hash, is_bound))
}

// Returns the version to which a request goes again.
fn retry_track(gateway: &Gateway, service: &ServiceName, last: AttemptEnd) -> Track {
    gateway.with(|state| state.rollouts.retry_track(clock::now(), service, last))
}

// A refusal guarantees that the request was not run. If it may have been, the failure says so.
fn unless_run(failure: Failure, attempts: &Attempts) -> Failure {
    if attempts.ran() == Ran::No { failure } else { Failure::ResponseLost }
}

fn response_timeout(
    req: &IdentifiedRequest,
    placement: &Placement,
    sends: u32,
    left: Duration,
) -> Duration {
    let is_last = req.route.cfg.attempts <= sends;
    match req.route.cfg.kind {
        RouteKind::Idempotent if !is_last => {
            let max = (left / CALL_TIMEOUT_DIVISOR).max(MIN_CALL_TIMEOUT);
            (placement.p95_call * CALL_TIMEOUT_FACTOR + placement.wait).clamp(MIN_CALL_TIMEOUT, max)
        }
        RouteKind::ResumableStream if !is_last => {
            ENGINE_TIMEOUT_MARGIN + placement.footprint.expected.unwrap_or_default()
        }
        _ => Duration::MAX,
    }
}
