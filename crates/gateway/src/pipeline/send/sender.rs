//! The sender of a request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bulrushhall_coord::Attempts;
use bulrushhall_core::{Event, Ran, ServiceName, Stamp};
use bulrushhall_policy::rollout::Track;
use tokio::{sync::oneshot, time::sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backends::OpenError,
    clock,
    crashes::send_refusal,
    gateway::Gateway,
    pipeline::{
        Failure,
        access_log::AccessLogEntry,
        attempt::{BackendResponse, OriginalRequest, SilenceLimit, attempt, note_unanswered},
        identify::IdentifiedRequest,
        node_end::{Work, ends_in_time},
        placement::{BRITTLE_RETRY_AFTER, Placement, PlacementQuery, Way},
        queueing::Queueing,
        room_search::RoomSearch,
        send::{
            NotSent, SendAim,
            open_attempts::{OpenAttempt, SilentAttempts},
            response_timeout::response_timeout,
            retry_gate::{RetryContext, RetryGate},
        },
        send_fault::{SendError, SendFault},
        silence::{NoTakeover, SilenceEnd, SilenceStage, log_silent},
        tried::TriedServers,
    },
    rollouts::AttemptEnd,
    waiting::place_or_wait,
};

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
/// The part of the time of a request that is kept for passing on an error response.
const ERROR_RETURN_MARGIN: Duration = Duration::from_millis(100);

/// A `RequestSender` sends a request to backend servers until one answers.
///
/// A server that is silent for too long keeps the request until another one has answered: all servers may be silent for a
/// moment, or none may take over.
pub struct RequestSender<'a> {
    gateway: &'a Arc<Gateway>,
    req: &'a IdentifiedRequest,
    original: &'a OriginalRequest,
    service: &'a ServiceName,
    tried: &'a mut TriedServers,
    log_entry: &'a mut AccessLogEntry,
    /// Whether it has run, over all attempts.
    pub attempts: Attempts,
    /// An error response, which is forwarded if neither a retry nor a silent server replaces it.
    pub error_response: Option<BackendResponse>,
    aim: SendAim,
    connect_failures: usize,
    search: RoomSearch,
    last_end: AttemptEnd,
    retry: RetryGate,
    silent: SilentAttempts<'a>,
    silence: Option<Silence>,
    is_raced: Arc<AtomicBool>,
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
        let retry = match aim {
            SendAim::Answer => RetryGate::default(),
            SendAim::Rest { broken_by, breaks, .. } => RetryGate::after_break(broken_by, breaks),
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
            retry,
            silent: SilentAttempts::default(),
            silence: None,
            is_raced: Arc::default(),
            aim,
        }
    }

    /// Notes that the server of the stream has been silent for a time.
    pub fn after_silence(self, placement: Placement, lasted: Duration) -> RequestSender<'a> {
        let stage = SilenceStage::Body;
        self.is_raced.store(true, Ordering::Relaxed);
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
            let left = self.time_to_wait();
            if self.silent.is_empty() || left.is_zero() {
                return Err(self.give_up(not_sent));
            }
            tokio::select! {
                biased;
                (placement, answer) = self.silent.next(self.req) => {
                    if let Some(response) = self.silent_ended(&placement, answer) {
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
        if self.time_to_wait().is_zero() {
            let failure = Failure::TimedOut(self.attempts.ran());
            return Err(NotSent { failure, reason: NoTakeover::Late });
        }
        self.retry.check(self.retry_context()).await?;
        let placement = self.place().await?;
        self.check_end(&placement)?;
        self.retry.pay(self.retry_context(), &placement)?;
        self.log_silence(Ok(()));
        let (mut open, mut silent_for_long) = self.begin(placement, began);
        loop {
            let left = self.time_to_wait();
            tokio::select! {
                biased;
                answer = &mut open.answer => return self.ended(open, answer),
                (placement, answer) = self.silent.next(self.req) => {
                    if let Some(response) = self.silent_ended(&placement, answer) {
                        note_unanswered(self.req, &open.placement, clock::now().since(open.began));
                        return Ok(Some(response));
                    }
                }
                _ = &mut silent_for_long => {
                    self.note_silent(open);
                    return Ok(None);
                }
                () = sleep(left) => {
                    self.note_silent(open);
                    return Ok(None);
                }
            }
        }
    }

    fn retry_context(&self) -> RetryContext<'a> {
        RetryContext {
            gateway: self.gateway,
            req: self.req,
            service: self.service,
            attempts: self.attempts,
            sends: self.log_entry.sends,
        }
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

    // Refuses a request whose answer this node would cut, so that another node takes it.
    fn check_end(&self, placement: &Placement) -> Result<(), NotSent> {
        let prompt = self.req.call.prompt.as_ref();
        let first = placement.expected + placement.wait;
        let work = Work { service: self.service, prompt, first, left: self.left() };
        if ends_in_time(self.gateway, work) {
            return Ok(());
        }
        self.gateway.with(|state| {
            if let Some(backend) = state.backends.get_mut(placement.key) {
                backend.announced.refund_request();
            }
        });
        Err(NotSent { failure: Failure::Leaving, reason: NoTakeover::Leaving })
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
        let is_raced = Arc::clone(&self.is_raced);
        let limit = SilenceLimit { after: limit, exceeded: Some(exceeded), is_raced };
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
        let (placement, stage) = (open.placement.clone(), SilenceStage::Head);
        self.retry.note_suspect(&placement);
        self.last_end = AttemptEnd::Other;
        self.silence = Some(Silence { placement, stage, lasted, logged: None });
        self.is_raced.store(true, Ordering::Relaxed);
        self.silent.push(open);
    }

    fn silent_ended(
        &mut self,
        placement: &Placement,
        answer: Result<BackendResponse, SendError>,
    ) -> Answer {
        match answer {
            Ok(response) => self.take_response(response),
            Err(failed) => {
                self.attempts.end(failed.ran);
                self.note_unsent(failed, placement);
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
            self.note_error();
            return None;
        }
        if status.is_server_error() && self.req.route.cfg.kind.may_run_again() {
            self.error_response = Some(response);
            self.note_error();
            return None;
        }
        Some(response)
    }

    fn note_error(&mut self) {
        self.retry.note_retry();
        self.last_end = AttemptEnd::Other;
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
        // A server that closed the connection may have crashed.
        if fault == SendFault::Closed {
            self.retry.note_suspect(placement);
        } else {
            self.retry.note_retry();
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
        self.silent.abandon(self.req, SilenceEnd::TakenOver);
        response
    }

    fn give_up(&mut self, not_sent: NotSent) -> NotSent {
        let failure = if self.left().is_zero() {
            Failure::TimedOut(self.attempts.ran())
        } else {
            unless_run(not_sent.failure, &self.attempts)
        };
        self.silent.abandon(self.req, SilenceEnd::Late);
        NotSent { failure, ..not_sent }
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

    // Returns how long servers may still answer.
    fn time_to_wait(&self) -> Duration {
        let margin =
            if self.error_response.is_some() { ERROR_RETURN_MARGIN } else { Duration::ZERO };
        self.left().saturating_sub(margin)
    }
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
