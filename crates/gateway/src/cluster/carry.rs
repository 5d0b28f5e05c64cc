//! Carrying of other nodes' requests to backend servers that they can't reach.

use std::{io, sync::Arc, time::Duration};

use bulrushhall_core::{Ran, ServiceName, Stamp};
use bulrushhall_external::http::{Body, BoxError, CheckedBody, SendFailure, full};
use bulrushhall_policy::placement::WorkerKey;
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{Request, Response, StatusCode, body::Frame, header::HeaderValue};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    adapter::{Call, ResponseHead},
    announcements::note_response,
    backends::{Connection, OpenError, Pool},
    brittle, clock,
    cluster::{CARRIED_HEADER, CARRIED_UNDELIMITED, CarriedRequest, CarryFailure},
    crashes::{
        EndedAnswer, Fingerprint, REMOVAL_TIME, SentRequest, UnmarkedAnswer, UnmarkedEnd,
        is_blocked, note_answering, unmarked_end,
    },
    gateway::{Gateway, Phase, State},
    meters,
    pipeline::{Work, connection_share, ends_in_time},
    reachability::{note_opened, note_unreachable},
};

/// The failure of a request that the server did not get.
pub const NOT_RUN: CarryFailure = CarryFailure { ran: Ran::No, full: false, blocked: false };
/// The failure of a request that the server may have run.
const LOST: CarryFailure = CarryFailure { ran: Ran::Unknown, full: false, blocked: false };

/// Sends a request of another node to the backend server that it names, over this node's own connections only, and
/// returns the response. The other node keeps all accounts of the request.
pub async fn carry(gateway: &Arc<Gateway>, carried: CarriedRequest) -> Response<Body> {
    let deadline = Instant::now() + carried.left;
    let sent = match timeout_at(deadline, send(gateway, &carried)).await {
        Ok(sent) => sent,
        Err(_) => Err(LOST),
    };
    match sent {
        Ok(response) => {
            meters::carried("answered");
            response.forward(gateway, deadline)
        }
        Err(failure) => {
            meters::carried(if failure.ran == Ran::No { "not_run" } else { "lost" });
            failure_response(failure)
        }
    }
}

/// Returns the response that tells of a failure.
pub fn failure_response(failure: CarryFailure) -> Response<Body> {
    let encoded = rmp_serde::to_vec_named(&failure).unwrap_or_default();
    let mut response = Response::new(full(encoded));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// A backend server to which this node may send.
struct Target {
    key: WorkerKey,
    service: ServiceName,
    pool: Arc<Pool>,
    connections: u32,
    in_flight: CarriedInFlight,
}

/// Counts a carried request as in flight at a backend server until it is dropped.
struct CarriedInFlight {
    gateway: Arc<Gateway>,
    key: WorkerKey,
    name: Arc<str>,
}

impl CarriedInFlight {
    fn begin(gateway: &Arc<Gateway>, key: WorkerKey, name: &Arc<str>) -> CarriedInFlight {
        gateway.carried.send_modify(|carried| *carried += 1);
        CarriedInFlight { gateway: Arc::clone(gateway), key, name: Arc::clone(name) }
    }
}

impl Drop for CarriedInFlight {
    fn drop(&mut self) {
        self.gateway.carried.send_modify(|carried| *carried -= 1);
        self.gateway.with(|state| {
            if let Some(backend) = state.backends.get_mut(self.key) {
                backend.room.end();
            }
        });
    }
}

/// A response of a backend server whose head has arrived.
struct CarriedResponse {
    response: Response<CheckedBody>,
    head: ResponseHead,
    connection: Connection,
    pool: Arc<Pool>,
    in_flight: CarriedInFlight,
    sent: Option<SentRequest>,
}

// A head that can't be read is the server's to reject.
fn call(gateway: &Gateway, req: &Request<Full<Bytes>>) -> Option<Call> {
    let mut parts = Request::new(()).into_parts().0;
    parts.uri = req.uri().clone();
    parts.headers = req.headers().clone();
    gateway.platform.wire.read_call(&parts).ok()
}

fn target(gateway: &Arc<Gateway>, carried: &CarriedRequest) -> Result<Target, CarryFailure> {
    let table = gateway.table.load_full().ok_or(NOT_RUN)?;
    let now = clock::now();
    if gateway.phase() == Phase::Draining {
        return Err(NOT_RUN);
    }
    gateway.with(|state| {
        let key = state.backends.key_of(&carried.backend).ok_or(NOT_RUN)?;
        let State { backends, brittle, members, .. } = state;
        let backend = backends.get_mut(key).ok_or(NOT_RUN)?;
        let accepts = backend.record.born == carried.born
            && backend.accepts_work()
            && backend.reported_until.is_none_or(|until| now < until)
            && !backend.announced.is_resting(now);
        if !accepts {
            return Err(NOT_RUN);
        }
        let brittleness = brittle.get(&backend.record.service);
        let slots = backend.record.slots;
        if brittleness.is_some_and(|it| !backend.room.has_part(now, it, slots)) {
            return Err(CarryFailure { full: true, ..NOT_RUN });
        }
        let service = table.services.get(&backend.record.service).ok_or(NOT_RUN)?;
        let connections = connection_share(service.connections, members.count());
        backend.room.begin();
        let in_flight = CarriedInFlight::begin(gateway, key, &backend.name);
        let service = backend.record.service.clone();
        Ok(Target { key, service, pool: Arc::clone(&backend.pool), connections, in_flight })
    })
}

async fn send(
    gateway: &Arc<Gateway>,
    carried: &CarriedRequest,
) -> Result<CarriedResponse, CarryFailure> {
    let Target { key, service, pool, connections, in_flight } = target(gateway, carried)?;
    let mut req = carried.request().ok_or(NOT_RUN)?;
    let call = call(gateway, &req);
    let fingerprint = call
        .as_ref()
        .map(|call| Arc::new(Fingerprint::new(req.method(), &carried.path, call, &carried.body)));
    let prompt = call.as_ref().and_then(|call| call.prompt.as_ref());
    let (first, left) = (Duration::ZERO, carried.left);
    if !ends_in_time(gateway, Work { service: &service, prompt, first, left }) {
        return Err(NOT_RUN);
    }
    let is_refused = |fingerprint| gateway.with(|state| is_blocked(state, fingerprint));
    if !carried.is_probe && fingerprint.as_deref().is_some_and(is_refused) {
        return Err(CarryFailure { blocked: true, ..NOT_RUN });
    }
    let sent_at = clock::now();
    let server = (key, &*carried.backend, carried.born);
    let identified = call.as_ref().zip(fingerprint.as_ref());
    let mut sent = identified
        .map(|(call, fingerprint)| SentRequest::begin(gateway, server, &call.id, fingerprint));
    loop {
        let mut connection = match pool.take(clock::now(), connections).await {
            Ok(connection) => connection,
            Err(OpenError::Full) => {
                settle(&mut sent);
                return Err(CarryFailure { full: true, ..NOT_RUN });
            }
            Err(OpenError::Unreachable) => {
                settle(&mut sent);
                note_unreachable(gateway, key);
                return Err(NOT_RUN);
            }
        };
        if !connection.reused {
            note_opened(gateway, key);
        }
        match connection.send(req).await {
            Ok(response) => {
                let head = note_head(gateway, carried, (key, sent_at), &response);
                return Ok(CarriedResponse { response, head, connection, pool, in_flight, sent });
            }
            Err(SendFailure::Unsent(unsent)) if connection.reused => req = *unsent,
            Err(SendFailure::Unsent(_)) => {
                settle(&mut sent);
                return Err(NOT_RUN);
            }
            Err(SendFailure::Malformed(_)) => {
                settle(&mut sent);
                return Err(LOST);
            }
            Err(SendFailure::Closed) => {
                if let Some(sent) = &mut sent {
                    sent.note_broken();
                }
                return Err(LOST);
            }
        }
    }
}

fn settle(sent: &mut Option<SentRequest>) {
    if let Some(sent) = sent {
        sent.settle();
    }
}

// What the server says of itself holds for this node too, since it knows the sender by its connection.
fn note_head(
    gateway: &Gateway,
    carried: &CarriedRequest,
    (key, sent_at): (WorkerKey, Stamp),
    response: &Response<CheckedBody>,
) -> ResponseHead {
    let mut parts = Response::new(()).into_parts().0;
    parts.status = response.status();
    parts.headers = response.headers().clone();
    let head = gateway.platform.wire.read_response(&parts);
    if !head.other_backend {
        note_response(gateway, (key, &carried.backend), sent_at, &head);
        brittle::note_response(gateway, key, sent_at, &head);
        note_answering(gateway, key, sent_at);
    }
    head
}

impl CarriedResponse {
    // The connection is closed if the other node drops the response, so that the server stops its work.
    fn forward(self, gateway: &Gateway, deadline: Instant) -> Response<Body> {
        let (parts, body) = self.response.into_parts();
        let mut headers = gateway.platform.wire.response_headers(&parts.headers);
        let is_delimited = body.end().is_marked();
        let CarriedInFlight { key, name, .. } = &self.in_flight;
        let unmarked = (!is_delimited)
            .then(|| UnmarkedAnswer::begin(&self.in_flight.gateway, (*key, name), &self.pool));
        let mark = if is_delimited { "1" } else { CARRIED_UNDELIMITED };
        headers.insert(CARRIED_HEADER, HeaderValue::from_static(mark));
        let kept = Kept {
            head: self.head,
            connection: self.connection,
            pool: self.pool,
            in_flight: self.in_flight,
            sent: self.sent,
            is_delimited,
            _unmarked: unmarked,
        };
        let frames = unfold(Some((body, kept)), move |open| next_frame(open, deadline));
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        response
    }
}

/// The connection of a response, which is kept for other requests after its end.
struct Kept {
    head: ResponseHead,
    connection: Connection,
    pool: Arc<Pool>,
    in_flight: CarriedInFlight,
    sent: Option<SentRequest>,
    /// Whether the end of the response is marked.
    is_delimited: bool,
    _unmarked: Option<UnmarkedAnswer>,
}

impl Kept {
    fn release(mut self) {
        match &mut self.sent {
            Some(sent) if self.is_delimited => sent.settle(),
            Some(sent) => sent.note_unmarked(),
            None => {}
        }
        if !self.head.closing {
            self.pool.keep(clock::now(), self.connection, self.head.idle);
        }
    }
}

impl Kept {
    fn note_broken(&mut self) {
        if let Some(sent) = &mut self.sent {
            sent.note_broken();
        }
    }

    // Returns whether an answer that ended with its connection is whole.
    async fn is_whole(&mut self, left: Duration) -> bool {
        if self.is_delimited {
            return true;
        }
        let CarriedInFlight { gateway, key, name } = &self.in_flight;
        let answer =
            EndedAnswer { key: *key, name, pool: &self.pool, life: self.connection.life() };
        match unmarked_end(gateway, answer).await {
            UnmarkedEnd::Whole => true,
            UnmarkedEnd::Unproven(departure) => {
                settle(&mut self.sent);
                departure.is_in_order(REMOVAL_TIME.min(left)).await
            }
            UnmarkedEnd::Crashed => {
                self.note_broken();
                false
            }
        }
    }
}

type Open = Option<(CheckedBody, Kept)>;
type Forwarded = Result<Frame<Bytes>, BoxError>;

async fn next_frame(open: Open, deadline: Instant) -> Option<(Forwarded, Open)> {
    let (mut body, mut kept) = open?;
    let left = deadline.saturating_duration_since(Instant::now());
    let frame = match timeout(left.max(Duration::from_millis(1)), body.frame()).await {
        Err(late) => return Some((Err(late.into()), None)),
        Ok(frame) => frame,
    };
    match frame {
        Some(Ok(frame)) => {
            if let (Some(sent), Some(bytes)) = (&mut kept.sent, frame.data_ref()) {
                sent.note_bytes(bytes);
            }
            // hyper does not poll again after the last byte of a body of known length.
            if hyper::body::Body::is_end_stream(&body) {
                kept.release();
                return Some((Ok(frame), None));
            }
            Some((Ok(frame), Some((body, kept))))
        }
        Some(Err(error)) => {
            if error.is_fault() {
                settle(&mut kept.sent);
            } else {
                kept.note_broken();
            }
            Some((Err(error.into()), None))
        }
        None => {
            // It may have been cut between two events.
            let left = deadline.saturating_duration_since(Instant::now());
            if !kept.is_whole(left).await {
                return Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()), None));
            }
            kept.release();
            None
        }
    }
}
