//! The HTTP client of one server, with a pool of idle connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_core::{Ran, VmName};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, client::conn::http1, header::HOST,
    http::HeaderValue,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, time::timeout};
use tracing::Instrument;

use crate::{
    errors::{CallError, CallFault},
    http::{Connection, HeadLimit, Tls, read_limited, trace},
};

/// The path under which a backend server reports its identity.
const IDENTITY_PATH: &str = "/identity";
/// The maximum size of the identity response, in bytes.
const MAX_IDENTITY_BYTES: usize = 1_024;
/// The size of the read buffer of a connection, which the head of a response has to fit in, in bytes.
const MAX_BUFFER: usize = 64 * 1_024;

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
    /// The time limit until the headers of the response arrive.
    pub response_timeout: Duration,
    /// The maximum number of idle connections that are kept.
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
    sender: http1::SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
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
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let span = trace::call_span(self.address, req.uri().path());
        self.send_traced(req).instrument(span).await
    }

    async fn send_traced(
        &self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        req.headers_mut().insert(HOST, self.host.clone());
        trace::inject(req.headers_mut());

        // The server may have closed an idle connection in the meantime. Hyper then returns the
        // unsent request, which is sent on another connection.
        while let Some(sender) = self.take_idle() {
            match self.send_on(sender, req).await {
                Ok(response) => return Ok(response),
                Err((Some(unsent), _)) => req = unsent,
                Err((None, error)) => return Err(error),
            }
        }

        let sender = self.open().await?;
        self.send_on(sender, req).await.map_err(|(_, error)| error)
    }

    async fn send_on(
        &self,
        mut sender: Sender,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (Option<Request<Full<Bytes>>>, CallError)> {
        // Dropping the sender after the timeout closes the connection, so that a silent one is not
        // used again.
        sender.head_limit.begin();
        let sending = sender.sender.try_send_request(req);
        let sent = timeout(self.options.response_timeout, sending).await;
        sender.head_limit.end();
        match sent {
            Err(_) => {
                // The cause usually affects the other idle connections too, and each of them would
                // cost another full timeout.
                self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clear();
                Err((None, CallError::unknown(CallFault::Timeout)))
            }
            Ok(Ok(response)) => {
                self.put_idle(sender);
                Ok(response)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let ran = if unsent.is_some() { Ran::No } else { Ran::Unknown };
                Err((unsent, CallError { fault: CallFault::Closed, ran }))
            }
        }
    }

    async fn open(&self) -> Result<Sender, CallError> {
        let failed = || CallError::not_done(CallFault::Connect);
        let opened = timeout(self.options.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = opened.map_err(|_| failed())?.map_err(|_| failed())?;
        let _ = stream.set_nodelay(true);
        let head_limit = HeadLimit::default();
        let io = TokioIo::new(head_limit.apply(self.start_tls(stream).await?));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_BUFFER).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| failed())?;
        tokio::spawn(connection);
        self.check_identity(Sender { sender, head_limit }).await
    }

    async fn start_tls(&self, stream: TcpStream) -> Result<Box<dyn Connection>, CallError> {
        let Some(tls) = &self.options.tls else { return Ok(Box::new(stream)) };
        let tls_failed = || CallError::not_done(CallFault::Identity);
        let handshake = timeout(self.options.connect_timeout, tls.connect(stream)).await;
        handshake.map_err(|_| tls_failed())?.map_err(|_| tls_failed())
    }

    // IP addresses are reused: a new VM may have the address of an old one. Checking the identity on
    // each new connection keeps a request from reaching the wrong server.
    async fn check_identity(&self, mut sender: Sender) -> Result<Sender, CallError> {
        let Some(vm) = &self.options.vm else { return Ok(sender) };
        let mismatch = || CallError::not_done(CallFault::Identity);
        let req = Request::get(IDENTITY_PATH)
            .header(HOST, self.host.clone())
            .body(Full::default())
            .map_err(|_| mismatch())?;

        sender.head_limit.begin();
        let sent = timeout(self.options.connect_timeout, sender.sender.send_request(req)).await;
        sender.head_limit.end();
        let response = sent.map_err(|_| CallError::not_done(CallFault::Timeout))?;
        let response = response.map_err(|_| CallError::not_done(CallFault::Closed))?;
        if response.status() != StatusCode::OK {
            return Err(mismatch());
        }
        let body =
            read_limited(response.into_body(), MAX_IDENTITY_BYTES, self.options.connect_timeout)
                .await;
        let body = body.map_err(|_| mismatch())?;
        let identity: Identity = serde_json::from_slice(&body).map_err(|_| mismatch())?;
        let is_other_version =
            !identity.version.is_empty() && identity.version != self.options.version;
        if identity.vm != *vm || is_other_version {
            return Err(mismatch());
        }
        sender.sender.ready().await.map_err(|_| CallError::not_done(CallFault::Closed))?;
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        idle.retain(|idle| !idle.sender.is_closed());
        let index = idle.iter().position(|idle| idle.sender.is_ready())?;
        Some(idle.swap_remove(index))
    }

    fn put_idle(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if idle.len() < self.options.max_idle {
            idle.push(sender);
        }
    }
}
