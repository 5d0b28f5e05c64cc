//! The HTTP client of one server, with a pool of idle connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushhall_core::VmName;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, header::HOST, http::HeaderValue};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use tracing::Instrument;

use crate::{
    errors::{CallError, CallFault},
    http::{
        AbortiveStream, CheckedBody, ClientConnection, ConnectOptions, Connection, SendFailure,
        SendPermit, Tls, read_limited, send_permit::WriteGate, trace,
    },
};

/// The path under which a backend server reports its identity.
const IDENTITY_PATH: &str = "/identity";
/// The maximum size of the identity response, in bytes.
const MAX_IDENTITY_BYTES: usize = 1_024;
/// The factor between the round-trip time that the kernel measured while a connection was opened and its
/// first retransmission timeout: the time itself and four times its variation, which starts at a half (RFC
/// 6298, section 2.2).
const FIRST_RETRANSMISSION_FACTOR: u32 = 3;
/// The lower limit of the kernel's retransmission timeout beyond the round-trip time (`TCP_RTO_MIN` of
/// Linux).
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// An `Identity` states which VM a backend server runs on, and the version of its software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: VmName,
    /// The version of its software; empty if it names none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// `EndpointOptions` are the limits and TLS settings of the connections to one server.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// The time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The time limit until the headers of the response arrive. The kernel gives up unacknowledged bytes this
    /// long after it first retransmitted them, also for a process that is frozen.
    pub response_timeout: Duration,
    /// The maximum number of idle connections that are kept; with 0, each request has a connection of its own.
    pub max_idle: usize,
    /// The VM whose identity is checked on each new connection, if it is known.
    pub vm: Option<VmName>,
    /// The software version that is checked with it; a server that names none passes.
    pub version: String,
    /// The TLS configuration, if connections use TLS.
    pub tls: Option<Arc<Tls>>,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        EndpointOptions {
            connect_timeout: Duration::from_millis(800),
            response_timeout: Duration::from_secs(10),
            max_idle: 64,
            vm: None,
            version: String::new(),
            tls: None,
        }
    }
}

impl EndpointOptions {
    /// Returns the maximum time in which a request may still arrive after it was written, if each request has
    /// a connection of its own.
    ///
    /// A sender that runs resets the connection after the response timeout, and one that ends resets it at
    /// once. While it is frozen, its kernel retransmits the request, first after a timeout that depends on
    /// the time that it took to open the connection, and from then on for the response timeout.
    pub fn max_delivery_time(&self) -> Duration {
        let first_retransmission = (self.connect_timeout * FIRST_RETRANSMISSION_FACTOR)
            .max(self.connect_timeout + MIN_RETRANSMISSION_TIMEOUT);
        first_retransmission + self.response_timeout
    }

    fn connect_options(&self) -> ConnectOptions {
        ConnectOptions {
            connect_timeout: self.connect_timeout,
            retransmission_timeout: Some(self.response_timeout),
        }
    }
}

/// A `TimeLeft` is the time that a request may still take.
#[derive(Clone, Copy, Debug)]
struct TimeLeft {
    began: Instant,
    limit: Duration,
}

impl TimeLeft {
    fn new(limit: Duration) -> TimeLeft {
        TimeLeft { began: Instant::now(), limit }
    }

    // Returns the time limit of one step.
    fn cap(self, time: Duration) -> Duration {
        self.limit.saturating_sub(self.began.elapsed()).min(time)
    }
}

/// An `Endpoint` is a client of one server, with a pool of idle connections.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    host: HeaderValue,
    options: EndpointOptions,
    idle: Mutex<Vec<Sender>>,
}

#[derive(Debug)]
struct Sender {
    connection: ClientConnection,
    gate: WriteGate,
}

/// A `PendingRequest` resets its connection when it is dropped before the response has arrived.
struct PendingRequest {
    sender: Option<Sender>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if let Some(sender) = &self.sender {
            sender.connection.abort();
        }
    }
}

impl Endpoint {
    /// Returns a client of the server at `address`, without opening a connection.
    pub fn new(address: SocketAddr, options: EndpointOptions) -> Endpoint {
        let host = HeaderValue::from_str(&address.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("localhost"));
        Endpoint { address, host, options, idle: Mutex::default() }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the response once its headers have arrived.
    ///
    /// The error states whether the request may have reached the server: a request that hyper
    /// returns was never written.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<CheckedBody>, CallError> {
        self.send_within(req, Duration::MAX).await
    }

    /// Sends a request and returns the response once its headers have arrived, if they do within `limit`.
    ///
    /// A request that was not written by then is not written any more, which the error states.
    pub async fn send_within(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<CheckedBody>, CallError> {
        let span = trace::call_span(self.address, req.uri().path());
        self.send_traced(req, TimeLeft::new(limit)).instrument(span).await
    }

    async fn send_traced(
        &self,
        mut req: Request<Full<Bytes>>,
        left: TimeLeft,
    ) -> Result<Response<CheckedBody>, CallError> {
        req.headers_mut().insert(HOST, self.host.clone());
        trace::inject(req.headers_mut());

        // The server may have closed an idle connection in the meantime. Hyper then returns the
        // unsent request, which is sent on another connection.
        while let Some(sender) = self.take_idle() {
            match self.send_on(sender, req, left).await {
                Ok(response) => return Ok(response),
                Err((Some(unsent), _)) => req = unsent,
                Err((None, error)) => return Err(error),
            }
        }

        let sender = self.open(left).await?;
        self.send_on(sender, req, left).await.map_err(|(_, error)| error)
    }

    async fn send_on(
        &self,
        sender: Sender,
        req: Request<Full<Bytes>>,
        left: TimeLeft,
    ) -> Result<Response<CheckedBody>, (Option<Request<Full<Bytes>>>, CallError)> {
        let permit = req.extensions().get::<SendPermit>().cloned();
        let limit = left.cap(self.options.response_timeout);
        if limit.is_zero() || permit.as_ref().is_some_and(|permit| !permit.is_valid()) {
            self.put_idle(sender);
            return Err((None, CallError::not_done(CallFault::Timeout)));
        }
        sender.gate.set(permit);
        let mut pending = PendingRequest { sender: Some(sender) };
        let sent = match &mut pending.sender {
            Some(sender) => timeout(limit, sender.connection.send(req)).await,
            None => unreachable!("it was set"),
        };
        let Some(sender) = pending.sender.take() else { unreachable!("it was set") };
        match sent {
            Err(_) => {
                // The cause usually affects the other idle connections too, and each of them would
                // cost another full timeout.
                self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clear();
                // A later request must not overtake this one.
                sender.connection.reset().await;
                Err((None, CallError::unknown(CallFault::Timeout)))
            }
            Ok(Ok(response)) => {
                self.put_idle(sender);
                Ok(response)
            }
            Ok(Err(failure)) => {
                sender.connection.reset().await;
                Err(match failure {
                    SendFailure::Unsent(unsent) => {
                        (Some(*unsent), CallError::not_done(CallFault::Closed))
                    }
                    SendFailure::Malformed(_) => (None, CallError::unknown(CallFault::Malformed)),
                    SendFailure::Closed => (None, CallError::unknown(CallFault::Closed)),
                })
            }
        }
    }

    async fn open(&self, left: TimeLeft) -> Result<Sender, CallError> {
        let failed = || CallError::not_done(CallFault::Connect);
        let mut options = self.options.connect_options();
        options.connect_timeout = left.cap(options.connect_timeout);
        let opened = AbortiveStream::connect(self.address, options).await;
        let stream = opened.map_err(|_| failed())?;
        let gate = stream.gate();
        let stream = self.start_tls(stream, left).await?;
        let connection = ClientConnection::begin(stream, self.address).await;
        let connection = connection.map_err(|_| failed())?;
        self.check_identity(Sender { connection, gate }, left).await
    }

    async fn start_tls(
        &self,
        stream: AbortiveStream,
        left: TimeLeft,
    ) -> Result<Box<dyn Connection>, CallError> {
        let Some(tls) = &self.options.tls else { return Ok(Box::new(stream)) };
        let tls_failed = || CallError::not_done(CallFault::Identity);
        let handshake = timeout(left.cap(self.options.connect_timeout), tls.connect(stream)).await;
        handshake.map_err(|_| tls_failed())?.map_err(|_| tls_failed())
    }

    // IP addresses are reused: a new VM may have the address of an old one. Checking the identity on
    // each new connection keeps a request from reaching the wrong server.
    async fn check_identity(
        &self,
        mut sender: Sender,
        left: TimeLeft,
    ) -> Result<Sender, CallError> {
        let Some(vm) = &self.options.vm else { return Ok(sender) };
        let mismatch = || CallError::not_done(CallFault::Identity);
        let req = Request::get(IDENTITY_PATH)
            .header(HOST, self.host.clone())
            .body(Full::default())
            .map_err(|_| mismatch())?;

        let limit = left.cap(self.options.connect_timeout);
        let sent = timeout(limit, sender.connection.send(req)).await;
        let response = sent.map_err(|_| CallError::not_done(CallFault::Timeout))?;
        let response = response.map_err(|_| CallError::not_done(CallFault::Closed))?;
        if response.status() != StatusCode::OK {
            return Err(mismatch());
        }
        let limit = left.cap(self.options.connect_timeout);
        let body = read_limited(response.into_body(), MAX_IDENTITY_BYTES, limit).await;
        let body = body.map_err(|_| mismatch())?;
        let identity: Identity = serde_json::from_slice(&body).map_err(|_| mismatch())?;
        let is_other_version =
            !identity.version.is_empty() && identity.version != self.options.version;
        if identity.vm != *vm || is_other_version {
            return Err(mismatch());
        }
        sender.connection.ready().await.map_err(|_| CallError::not_done(CallFault::Closed))?;
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        idle.retain(|idle| !idle.connection.is_closed());
        let index = idle.iter().position(|idle| idle.connection.is_ready())?;
        Some(idle.swap_remove(index))
    }

    fn put_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if idle.len() < self.options.max_idle {
            idle.push(sender);
        }
    }
}
