//! The client side: one server at one address, with its open connections.

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
    http::{Connection, Tls, read_limited, trace},
};

/// The path under which a backend server tells who it is.
const IDENTITY_PATH: &str = "/identity";
/// The largest answer to the question of identity, in bytes.
const IDENTITY_LIMIT: usize = 1_024;

/// An `Identity` tells which VM a backend server runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: VmName,
}

/// `EndpointOptions` bound the calls to one server.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// The longest time for opening a connection.
    pub connect_timeout: Duration,
    /// The longest time until the answer's headers arrive.
    pub response_timeout: Duration,
    /// The most idle connections that are kept.
    pub max_idle: usize,
    /// The VM that must answer on each new connection, where that is known.
    pub vm: Option<VmName>,
    /// How connections are protected, if they are.
    pub tls: Option<Arc<Tls>>,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        EndpointOptions {
            connect_timeout: Duration::from_millis(800),
            response_timeout: Duration::from_secs(10),
            max_idle: 64,
            vm: None,
            tls: None,
        }
    }
}

/// An `Endpoint` is one server at one address, with its open connections.
pub struct Endpoint {
    address: SocketAddr,
    host: HeaderValue,
    options: EndpointOptions,
    idle: Mutex<Vec<Sender>>,
}

type Sender = http1::SendRequest<Full<Bytes>>;

impl Endpoint {
    /// Returns the endpoint at `address`; no connection is opened yet.
    pub fn new(address: SocketAddr, options: EndpointOptions) -> Endpoint {
        let host = HeaderValue::from_str(&address.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("localhost"));
        Endpoint { address, host, options, idle: Mutex::default() }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the answer once its headers are there.
    ///
    /// The error says whether the request may have reached the server: a request that hyper
    /// hands back was never written.
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

        // A kept connection may have been closed by the other side in the meantime. Hyper then
        // hands the unsent request back, and it goes out on another connection.
        while let Some(sender) = self.take_idle() {
            match self.send_on(sender, req).await {
                Ok(answer) => return Ok(answer),
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
        // Dropping the sender after the time-out closes the connection: one that has gone silent
        // is not used again.
        let sent = timeout(self.options.response_timeout, sender.try_send_request(req)).await;
        match sent {
            Err(_) => {
                // What silenced this connection mostly silenced the others that were open then;
                // each would cost a whole time-out of its own.
                self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clear();
                Err((None, CallError::unknown(CallFault::Timeout)))
            }
            Ok(Ok(answer)) => {
                self.keep(sender);
                Ok(answer)
            }
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let ran = if unsent.is_some() { Ran::No } else { Ran::Unknown };
                Err((unsent, CallError { fault: CallFault::Closed, ran }))
            }
        }
    }

    async fn open(&self) -> Result<Sender, CallError> {
        let connect = || CallError::not_done(CallFault::Connect);
        let opened = timeout(self.options.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = opened.map_err(|_| connect())?.map_err(|_| connect())?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(self.protect(stream).await?))
            .await
            .map_err(|_| connect())?;
        tokio::spawn(connection);
        self.check_identity(sender).await
    }

    async fn protect(&self, stream: TcpStream) -> Result<Box<dyn Connection>, CallError> {
        let Some(tls) = &self.options.tls else { return Ok(Box::new(stream)) };
        let unfit = || CallError::not_done(CallFault::Identity);
        let protected = timeout(self.options.connect_timeout, tls.connect(stream)).await;
        protected.map_err(|_| unfit())?.map_err(|_| unfit())
    }

    // IP numbers are used again: a new VM may answer at an old one's address. Asking who answers
    // on each new connection keeps a request from reaching a server it was not meant for.
    async fn check_identity(&self, mut sender: Sender) -> Result<Sender, CallError> {
        let Some(vm) = &self.options.vm else { return Ok(sender) };
        let wrong = || CallError::not_done(CallFault::Identity);
        let req = Request::get(IDENTITY_PATH)
            .header(HOST, self.host.clone())
            .body(Full::default())
            .map_err(|_| wrong())?;

        let sent = timeout(self.options.connect_timeout, sender.send_request(req)).await;
        let answer = sent.map_err(|_| CallError::not_done(CallFault::Timeout))?;
        let answer = answer.map_err(|_| CallError::not_done(CallFault::Closed))?;
        if answer.status() != StatusCode::OK {
            return Err(wrong());
        }
        let body =
            read_limited(answer.into_body(), IDENTITY_LIMIT, self.options.connect_timeout).await;
        let body = body.map_err(|_| wrong())?;
        let identity: Identity = serde_json::from_slice(&body).map_err(|_| wrong())?;
        if identity.vm != *vm {
            return Err(wrong());
        }
        sender.ready().await.map_err(|_| CallError::not_done(CallFault::Closed))?;
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        idle.retain(|sender| !sender.is_closed());
        let at = idle.iter().position(Sender::is_ready)?;
        Some(idle.swap_remove(at))
    }

    fn keep(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if idle.len() < self.options.max_idle {
            idle.push(sender);
        }
    }
}
