//! Numeric identifiers: incarnations, request ids, revisions and fencing numbers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{CoreError, Result};

/// An `Incarnation` identifies one run of a node's process; each restart has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A `Revision` is the number of an accepted configuration; it only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// An `Era` counts the restores of a key-value service from an older copy of its data.
///
/// In a new era, revisions, leases and writes of the earlier one may be lost, and revisions and lease ids
/// may be given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A `FencingNumber` orders the holders of a lease: a later holder has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

/// A `RequestId` identifies one accepted request, uniquely over all nodes and incarnations.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId {
    /// The incarnation of the node that accepted the request.
    pub origin: Incarnation,
    /// The number of requests that this incarnation had accepted before.
    pub sequence: u64,
}

/// A `StreamPosition` is the id of one event of a response: the request and the event's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The request that the response belongs to.
    pub request: RequestId,
    /// The number of the event, counted from 0.
    pub number: u64,
}

impl Revision {
    /// Returns the next revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// The bits of a fencing number that hold the version of the duty's key. A number stays below 2^53 for
/// 131,072 eras, so that every JSON parser reads it exactly.
const VERSION_BITS: u32 = 36;

impl FencingNumber {
    /// Returns the fencing number of a holder whose key has `version` in `era`.
    ///
    /// Versions start again from an older value after a restore, so they alone could repeat or fall.
    pub fn of_version(era: Era, version: u64) -> FencingNumber {
        FencingNumber((era.0 << VERSION_BITS) | version)
    }

    /// Returns the version of the duty's key.
    pub fn version(self) -> u64 {
        self.0 & ((1 << VERSION_BITS) - 1)
    }

    /// Returns the next fencing number.
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
