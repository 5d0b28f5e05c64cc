//! The platform's format of requests and responses.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::TeamName;
use hyper::{
    HeaderMap, Response, StatusCode,
    http::{request, response},
};

use crate::adapter::{Call, Statement};

/// A `CallProblem` is the reason why a caller's request is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProblem {
    /// The id is missing or malformed.
    Id,
    /// The host is missing or malformed.
    Host,
    /// A header that the adapter parses is malformed.
    Header(&'static str),
}

/// A `SendHead` is the information that a node adds to a caller's request for a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// The name of the addressed backend server; another one at its address must refuse the request.
    pub backend: &'a str,
    /// The time until the deadline.
    pub left: Option<Duration>,
    /// The team of the caller.
    pub team: Option<&'a TeamName>,
    /// The priority at an engine, 0 being the most urgent.
    pub rank: Option<u8>,
    /// The id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// The engine from whose prefix cache the receiver copies the parts of the prompt that it lacks.
    pub copy_from: Option<SocketAddr>,
}

/// A `ResponseHead` is the platform-independent view of the head of a backend server's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The id of the attempt that it responds to, if it has one.
    pub id: Option<String>,
    /// Whether it carries the backend server's seal, which proves that it comes from a backend server.
    pub sealed: bool,
    /// Whether the backend server reports that it did not run the request.
    pub not_run: bool,
    /// Whether another backend server than the addressed one has the address.
    pub other_backend: bool,
    /// Whether the connection is closed after the response.
    pub closing: bool,
    /// The idle timeout of the connection, if the backend server announces it.
    pub idle: Option<Duration>,
    /// The requests per second that the backend server accepts from all nodes together; it accepts any rate
    /// if it names none.
    pub request_limit: Statement<f64>,
    /// Whether the backend server is leaving.
    pub leaving: Statement<bool>,
    /// For how long the backend server, which turned the request away, wants none from this node.
    pub rest: Statement<Duration>,
    /// The requests that the backend server, which is brittle, may turn away in a second without falling.
    pub brittle: Statement<u32>,
}

/// A `Refusal` is a response of a node's own to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// The time after which the caller may retry.
    pub after: Option<Duration>,
}

/// A `Wire` parses and writes the heads of requests and responses; it makes no decisions.
pub trait Wire: Send + Sync {
    /// Parses the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> Result<Call, CallProblem>;

    /// Returns the headers of a request to a backend server: the caller's end-to-end headers, except
    /// those that only the system may set, and the headers for `send`.
    fn send_headers(&self, caller: &HeaderMap, send: SendHead<'_>) -> HeaderMap;

    /// Parses the head of a backend server's response.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers of a response to the caller, from those of the backend server's response.
    fn response_headers(&self, response: &HeaderMap) -> HeaderMap;

    /// Returns the response that refuses a request or reports its failure.
    fn refusal(&self, refusal: Refusal) -> Response<()>;

    /// Returns the zone of a caller that looks up addresses; none if the request is not a lookup.
    fn read_lookup(&self, head: &request::Parts) -> Option<String>;

    /// Returns the response to a lookup, with the addresses and the time for which they are valid.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Vec<u8>>;
}
