//! A caller that plays planned requests to their end, as a real one would.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_core::Ran;
use hyper::{Method, Response, body::Incoming};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    CallerError,
    load::{Addresses, Arrival, Followed, Following, Kind, Outcome, Plan, Record},
};

/// The header that carries the id of an accepted request.
const REQUEST_HEADER: &str = "x-request-id";
/// The header in which a reader names the last event that it saw.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// The header in which a caller gives back the ticket of the entry it first sent a call to.
const TICKET_HEADER: &str = "x-ticket";
/// The pause before the next entry is tried.
const NEXT_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause that a refusal may ask of a caller.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// The code of a call whose first sending still runs.
const IN_PROGRESS: &str = "key_in_progress";

/// A `Person` is one caller with its team, its list of entries and its connections.
pub struct Person {
    team: String,
    addresses: Addresses,
    plan: Arc<Plan>,
    started: Instant,
}

/// A `Step` is what a caller does after an attempt.
enum Step {
    /// Send it again, to this many entries further on, after a pause.
    Again(usize, Duration),
    /// Go on at this entry.
    At(SocketAddr),
    /// Nothing more.
    End(Outcome),
}

impl Person {
    /// Returns a caller of `team`; times are taken from `started` on.
    pub fn new(
        team: impl Into<String>,
        addresses: Addresses,
        plan: Arc<Plan>,
        started: Instant,
    ) -> Person {
        Person { team: team.into(), addresses, plan, started }
    }

    /// Plays one request to its end and tells what was seen of it.
    pub async fn play(&self, arrival: Arrival) -> Record {
        let mut record = self.blank(arrival);
        match record.kind {
            Kind::Chat | Kind::Patient => self.ask(&mut record).await,
            Kind::Order | Kind::Lookup => self.call(&mut record).await,
        }
        record.ended = self.started.elapsed();
        record
    }

    async fn ask(&self, record: &mut Record) {
        let mut following = Following::default();
        let (mut turn, mut told) = (0, None);
        while !self.is_late(record) {
            let entries = self.addresses.current().await;
            let address = told.take().unwrap_or(entries[turn % entries.len()]);
            let caller = self.addresses.caller(address);
            let sent = match &record.request {
                None => self.submit(&caller, record).await,
                Some(request) => {
                    let path = format!("/v1/requests/{request}/stream");
                    let last = following.last_event.as_deref();
                    let last = last.map(|last| (LAST_EVENT_HEADER, last));
                    caller.open(Method::GET, &path, last.as_slice(), &Value::Null).await
                }
            };
            let step = match sent {
                Ok(answer) => self.read(record, &mut following, answer).await,
                Err(error) => self.weigh(record, error),
            };
            match step {
                Step::Again(further, pause) => {
                    turn += further;
                    sleep(pause).await;
                }
                Step::At(address) => told = Some(address),
                Step::End(outcome) => {
                    record.outcome = outcome;
                    break;
                }
            }
        }
        let planned = self.started + record.planned;
        record.first_token = following.first.map(|first| first.saturating_duration_since(planned));
        record.gaps = following.gaps;
        record.text = following.text;
        record.duplicated = following.duplicated;
        record.skipped = following.skipped;
    }

    async fn submit(
        &self,
        caller: &crate::Caller,
        record: &mut Record,
    ) -> Result<Response<Incoming>, CallerError> {
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
        following: &mut Following,
        answer: Response<Incoming>,
    ) -> Step {
        let is_new = record.request.is_none();
        let id = answer.headers().get(REQUEST_HEADER).and_then(|id| id.to_str().ok());
        record.request = record.request.take().or(id.map(str::to_owned));
        record.accepted = true;
        if is_new && record.kind == Kind::Patient {
            return Step::Again(0, Duration::ZERO);
        }
        match following.read(answer, self.plan.silence).await {
            Followed::Whole => {
                record.ran = Ran::Yes;
                Step::End(Outcome::Finished)
            }
            Followed::Failed { code, ran } => {
                (record.code, record.ran) = (Some(code), ran);
                Step::End(Outcome::Failed)
            }
            Followed::Moved(address) => {
                record.moves += 1;
                self.addresses.forget();
                Step::At(address)
            }
            Followed::Cut => {
                record.reconnects += 1;
                self.addresses.forget();
                Step::Again(1, NEXT_PAUSE)
            }
        }
    }

    // A request that was accepted is followed until its caller's patience ends. One that was
    // not, and one that can be repeated, is sent anew a few times.
    fn weigh(&self, record: &mut Record, error: CallerError) -> Step {
        let (code, ran, after) = match error {
            CallerError::Refused { code, ran, retry_after, .. } => (Some(code), ran, retry_after),
            CallerError::Call(error) => (None, error.ran, None),
            CallerError::Malformed => (None, Ran::Unknown, None),
        };
        let refused = code.is_some();
        if record.accepted {
            // The node that knew the request may be gone and its copy not yet taken over.
            record.reconnects += 1;
            self.addresses.forget();
            if code.as_deref() == Some("cancelled") || code.as_deref() == Some("deadline_passed") {
                (record.code, record.ran) = (code, ran);
                return Step::End(Outcome::Failed);
            }
            return Step::Again(1, NEXT_PAUSE);
        }
        let in_progress = code.as_deref() == Some(IN_PROGRESS);
        let may_repeat = ran == Ran::No || record.kind != Kind::Order || in_progress || !refused;
        let passing = after.is_some() || in_progress || is_passing(code.as_deref());
        (record.code, record.ran) = (code, record.ran.combine(ran));
        record.refusals += u32::from(refused);
        if !may_repeat || !passing || self.plan.retries <= record.retries {
            return Step::End(if refused { Outcome::Refused } else { Outcome::Cut });
        }
        record.retries += 1;
        self.addresses.forget();
        let pause = after.map_or(NEXT_PAUSE, Duration::from_secs).min(LONGEST_PAUSE);
        Step::Again(usize::from(!in_progress), pause)
    }

    async fn call(&self, record: &mut Record) {
        let service = &self.plan.service;
        let mut ticket = None;
        let mut turn = 0;
        while !self.is_late(record) {
            let entries = self.addresses.current().await;
            let address = entries[turn % entries.len()];
            let caller = self.addresses.caller(address);
            ticket = ticket.or_else(|| self.addresses.ticket(address));
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
                Err(error) => self.weigh(record, error),
            };
            match step {
                Step::Again(further, pause) => {
                    turn += further;
                    // A call that was certainly not run may be sent under another ticket; one that
                    // may have run must keep the ticket that it was first sent with.
                    if record.ran == Ran::No {
                        ticket = None;
                    }
                    sleep(pause).await;
                }
                Step::At(_) => {}
                Step::End(outcome) => {
                    record.outcome = outcome;
                    return;
                }
            }
        }
    }

    fn is_late(&self, record: &Record) -> bool {
        record.planned + self.plan.patience <= self.started.elapsed()
    }

    fn blank(&self, arrival: Arrival) -> Record {
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

// Refusals for what the request says would come again; those for the state of the system pass.
fn is_passing(code: Option<&str>) -> bool {
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
