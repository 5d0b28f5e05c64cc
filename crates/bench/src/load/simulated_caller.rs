//! A simulated caller that sends planned requests, retries them and reads their answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_core::Ran;
use bulrushhall_external::http::CheckedBody;
use hyper::{Method, Response};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    CallerError,
    load::{Arrival, EntryCache, Kind, Outcome, Plan, Record, StreamEnd, StreamReader},
};

/// The header that carries the id of an accepted request.
const REQUEST_HEADER: &str = "x-request-id";
/// The header that carries the id of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// The header that carries the ticket of the entry that a call was first sent to.
const TICKET_HEADER: &str = "x-ticket";
/// The delay before the next entry is tried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The upper bound of the delay that a refusal may request with `Retry-After`.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// The error code of a call whose first attempt is still running.
const IN_PROGRESS: &str = "key_in_progress";

/// A `SimulatedCaller` is one caller with its team, its list of entries and its connections.
pub struct SimulatedCaller {
    team: String,
    entries: EntryCache,
    plan: Arc<Plan>,
    started: Instant,
}

/// A `Step` is what a caller does after an attempt.
enum Step {
    /// Retry after a delay, this many entries further down the list.
    Again(usize, Duration),
    /// Continue at the entry with this address.
    At(SocketAddr),
    /// The request has ended.
    End(Outcome),
}

impl SimulatedCaller {
    /// Returns a caller of `team`; recorded times are relative to `started`.
    pub fn new(
        team: impl Into<String>,
        entries: EntryCache,
        plan: Arc<Plan>,
        started: Instant,
    ) -> SimulatedCaller {
        SimulatedCaller { team: team.into(), entries, plan, started }
    }

    /// Performs one request with its retries and returns what the caller observed.
    pub async fn perform(&self, arrival: Arrival) -> Record {
        let mut record = self.new_record(arrival);
        match record.kind {
            Kind::Chat | Kind::Patient => self.request_model(&mut record).await,
            Kind::Order | Kind::Lookup => self.call_service(&mut record).await,
        }
        record.ended = self.started.elapsed();
        record
    }

    async fn request_model(&self, record: &mut Record) {
        let mut reader = StreamReader::default();
        let (mut offset, mut redirect) = (0, None);
        while !self.is_abandoned(record) {
            let entries = self.entries.current().await;
            let address = redirect.take().unwrap_or(entries[offset % entries.len()]);
            let caller = self.entries.caller(address);
            let sent = match &record.request {
                None => self.submit(&caller, record).await,
                Some(request) => {
                    let path = format!("/v1/requests/{request}/stream");
                    let last = reader.last_event.as_deref();
                    let last = last.map(|last| (LAST_EVENT_HEADER, last));
                    caller.open(Method::GET, &path, last.as_slice(), &Value::Null).await
                }
            };
            let step = match sent {
                Ok(answer) => self.read(record, &mut reader, answer).await,
                Err(error) => self.next_step(record, error),
            };
            match step {
                Step::Again(skip, delay) => {
                    offset += skip;
                    sleep(delay).await;
                }
                Step::At(address) => redirect = Some(address),
                Step::End(outcome) => {
                    record.outcome = outcome;
                    break;
                }
            }
        }
        let planned = self.started + record.planned;
        record.first_token = reader.first.map(|first| first.saturating_duration_since(planned));
        record.gaps = reader.gaps;
        record.text = reader.text;
        record.duplicated = reader.duplicated;
        record.skipped = reader.skipped;
    }

    async fn submit(
        &self,
        caller: &crate::Caller,
        record: &mut Record,
    ) -> Result<Response<CheckedBody>, CallerError> {
        let stream = record.kind == Kind::Chat;
        let path = if stream { "/v1/chat/completions" } else { "/v1/requests" };
        let body = json!({
            "model": self.plan.model,
            "messages": [{ "role": "user", "content": record.prompt }],
            "max_tokens": record.max_tokens,
            "stream": stream,
        });
        let headers = [("x-request-class", record.class.as_str())];
        caller.open(Method::POST, path, &headers, &body).await
    }

    async fn read(
        &self,
        record: &mut Record,
        reader: &mut StreamReader,
        answer: Response<CheckedBody>,
    ) -> Step {
        let is_new = record.request.is_none();
        let id = answer.headers().get(REQUEST_HEADER).and_then(|id| id.to_str().ok());
        record.request = record.request.take().or(id.map(str::to_owned));
        record.accepted = true;
        if is_new && record.kind == Kind::Patient {
            return Step::Again(0, Duration::ZERO);
        }
        match reader.read(answer, self.plan.idle_timeout).await {
            StreamEnd::Whole => {
                record.ran = Ran::Yes;
                Step::End(Outcome::Finished)
            }
            StreamEnd::Failed { code, ran } => {
                (record.code, record.ran) = (Some(code), ran);
                Step::End(Outcome::Failed)
            }
            StreamEnd::Moved(address) => {
                record.moves += 1;
                self.entries.expire();
                Step::At(address)
            }
            StreamEnd::Cut => {
                record.reconnects += 1;
                self.entries.expire();
                Step::Again(1, RETRY_DELAY)
            }
        }
    }

    // The caller reconnects to an accepted request until its time limit. A request that was not
    // accepted is retried a limited number of times if it can be repeated and the error is
    // transient.
    fn next_step(&self, record: &mut Record, error: CallerError) -> Step {
        let (code, ran, retry_after) = match error {
            CallerError::Refused { code, ran, retry_after, .. } => (Some(code), ran, retry_after),
            CallerError::Call(error) => (None, error.ran, None),
            CallerError::Malformed => (None, Ran::Unknown, None),
        };
        let refused = code.is_some();
        if record.accepted {
            // The node that served the request may be gone and its copy not yet taken over.
            record.reconnects += 1;
            self.entries.expire();
            if code.as_deref() == Some("cancelled") || code.as_deref() == Some("deadline_passed") {
                (record.code, record.ran) = (code, ran);
                return Step::End(Outcome::Failed);
            }
            return Step::Again(1, RETRY_DELAY);
        }
        let in_progress = code.as_deref() == Some(IN_PROGRESS);
        let may_repeat = ran == Ran::No || record.kind != Kind::Order || in_progress || !refused;
        let transient = retry_after.is_some() || in_progress || is_transient(code.as_deref());
        (record.code, record.ran) = (code, record.ran.combine(ran));
        record.refusals += u32::from(refused);
        if !may_repeat || !transient || self.plan.retries <= record.retries {
            return Step::End(if refused { Outcome::Refused } else { Outcome::Cut });
        }
        record.retries += 1;
        self.entries.expire();
        let delay = retry_after.map_or(RETRY_DELAY, Duration::from_secs).min(MAX_RETRY_DELAY);
        Step::Again(usize::from(!in_progress), delay)
    }

    async fn call_service(&self, record: &mut Record) {
        let service = &self.plan.service;
        let mut ticket = None;
        let mut offset = 0;
        while !self.is_abandoned(record) {
            let entries = self.entries.current().await;
            let address = entries[offset % entries.len()];
            let caller = self.entries.caller(address);
            ticket = ticket.or_else(|| self.entries.ticket(address));
            let sent = match &record.key {
                Some(key) => {
                    let path = format!("/v1/services/{service}/orders");
                    let mut headers = vec![("idempotency-key", key.as_str())];
                    headers.extend(ticket.as_deref().map(|ticket| (TICKET_HEADER, ticket)));
                    let body = json!({ "order": record.prompt });
                    caller.json(Method::POST, &path, &headers, &body).await
                }
                None => {
                    let path = format!("/v1/services/{service}{}", record.prompt);
                    caller.json(Method::GET, &path, &[], &Value::Null).await
                }
            };
            let step = match sent {
                Ok(answer) => {
                    record.accepted = true;
                    record.ran = Ran::Yes;
                    record.text = answer.to_string();
                    Step::End(Outcome::Finished)
                }
                Err(error) => self.next_step(record, error),
            };
            match step {
                Step::Again(skip, delay) => {
                    offset += skip;
                    // A call that certainly did not run may be sent with another ticket; one that
                    // may have run must keep its first ticket.
                    if record.ran == Ran::No {
                        ticket = None;
                    }
                    sleep(delay).await;
                }
                Step::At(_) => {}
                Step::End(outcome) => {
                    record.outcome = outcome;
                    return;
                }
            }
        }
    }

    fn is_abandoned(&self, record: &Record) -> bool {
        record.planned + self.plan.time_limit <= self.started.elapsed()
    }

    fn new_record(&self, arrival: Arrival) -> Record {
        let class = match arrival.kind {
            Kind::Chat => self.plan.urgent.clone(),
            Kind::Patient => self.plan.patient.clone(),
            Kind::Order | Kind::Lookup => String::new(),
        };
        let key = (arrival.kind == Kind::Order).then(|| format!("order-{}", arrival.text));
        Record {
            number: arrival.number,
            kind: arrival.kind,
            class,
            team: self.team.clone(),
            phase: arrival.phase,
            planned: arrival.at,
            ended: Duration::ZERO,
            request: None,
            accepted: false,
            outcome: Outcome::Cut,
            ran: Ran::No,
            code: None,
            first_token: None,
            gaps: Vec::new(),
            prompt: arrival.text,
            max_tokens: arrival.max_tokens,
            text: String::new(),
            duplicated: 0,
            skipped: 0,
            reconnects: 0,
            moves: 0,
            refusals: 0,
            retries: 0,
            key,
        }
    }
}

// A refusal because of the state of the system is transient; one because of the request itself
// would be repeated.
fn is_transient(code: Option<&str>) -> bool {
    match code {
        None => true,
        Some(code) => {
            matches!(
                code,
                "overloaded" | "leaving" | "unavailable" | "backend_failed" | "stale_ticket"
            )
        }
    }
}
