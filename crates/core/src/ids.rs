//! Identifiers that are numbers: incarnations, request ids, revisions and fencing numbers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{CoreError, Result};

/// An `Incarnation` is one life of a process; a later life of the same node has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A `Revision` counts accepted configurations; it only rises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A `FencingNumber` is a fencing number: of two holders of one lease, the later has the higher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

/// A `RequestId` names one accepted request, unique over all nodes and their lives.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId {
    /// The life of the node that accepted the request.
    pub origin: Incarnation,
    /// The count of requests that this life had accepted before.
    pub sequence: u64,
}

/// A `StreamPosition` is the id of one event of an answer: the request and the event's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The request whose answer it is.
    pub request: RequestId,
    /// The number of the event; the first has 0.
    pub number: u64,
}

impl Revision {
    /// Returns the revision that follows.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl FencingNumber {
    /// Returns the fencing number that follows.
    pub fn next(self) -> FencingNumber {
        FencingNumber(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<Incarnation> {
        u64::from_str_radix(text, 16).map(Incarnation).map_err(|_| CoreError::request_id(text))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r-{:x}-{:x}", self.origin.0, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<RequestId> {
        let malformed = || CoreError::request_id(text);
        let rest = text.strip_prefix("r-").ok_or_else(malformed)?;
        let (origin, sequence) = rest.split_once('-').ok_or_else(malformed)?;
        let origin = u64::from_str_radix(origin, 16).map_err(|_| malformed())?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| malformed())?;
        Ok(RequestId { origin: Incarnation(origin), sequence })
    }
}

impl fmt::Display for StreamPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.request, self.number)
    }
}

impl FromStr for StreamPosition {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<StreamPosition> {
        let malformed = || CoreError::stream_position(text);
        let (request, number) = text.split_once(':').ok_or_else(malformed)?;
        let request = request.parse().map_err(|_| malformed())?;
        let number = number.parse().map_err(|_| malformed())?;
        Ok(StreamPosition { request, number })
    }
}
