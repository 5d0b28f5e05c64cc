//! The form of requests and answers towards callers and backend servers.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::TeamName;
use hyper::{
    HeaderMap, Response, StatusCode,
    http::{request, response},
};

use crate::adapter::Call;

/// A `CallProblem` tells why a caller's request could not be understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProblem {
    /// It carries no id, or one that is malformed.
    Id,
    /// It names no host.
    Host,
    /// A header that the system reads is malformed.
    Header(&'static str),
}

/// A `SendHead` is what a backend server is told beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// The backend server that is meant; another at its address must refuse.
    pub backend: &'a str,
    /// The time that is left.
    pub left: Option<Duration>,
    /// The team that the caller belongs to.
    pub team: Option<&'a TeamName>,
    /// The rank among the requests at an engine, 0 being the first.
    pub rank: Option<u8>,
    /// The number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// The engine from whose memory the receiver copies what it lacks of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// An `ResponseHead` is what the head of a backend server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The id of the attempt that it answers, where it tells one.
    pub id: Option<String>,
    /// Whether the backend server vouches for the answer.
    pub sealed: bool,
    /// Whether the backend server says that the request was not run.
    pub not_run: bool,
    /// Whether another backend server than the one that was meant has the address.
    pub other_backend: bool,
    /// Whether the connection is closed after it.
    pub closing: bool,
    /// How long the connection may be idle, where the backend server tells it.
    pub idle: Option<Duration>,
}

/// A `Refusal` is an answer of the system's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// When the caller may come back.
    pub after: Option<Duration>,
}

/// A `Wire` reads and writes the heads of requests and answers; it decides nothing.
pub trait Wire: Send + Sync {
    /// Reads the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> Result<Call, CallProblem>;

    /// Returns the headers of the request as it is sent to a backend server: those of the caller
    /// that pass on, without any that only the system may set, and those of `send`.
    fn send_headers(&self, caller: &HeaderMap, send: SendHead<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers of the answer as they pass on to the caller.
    fn response_headers(&self, answer: &HeaderMap) -> HeaderMap;

    /// Returns the answer that refuses a request or tells of its failure.
    fn refusal(&self, refusal: Refusal) -> Response<()>;

    /// Returns the zone of a caller that asks which addresses to use; none where the request asks
    /// for something else.
    fn read_lookup(&self, head: &request::Parts) -> Option<String>;

    /// Returns the body that names the addresses to use, and for how long.
    fn addresses(&self, addresses: &[SocketAddr], keep: Duration) -> Response<Vec<u8>>;
}
