//! The message in which facts are sent.

use bulrushhall_core::{Incarnation, ZoneName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A `FactScope` is the set of nodes whose facts a batch holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactScope {
    /// The sender.
    Own,
    /// All nodes of an availability zone, the one of the sender.
    Zone(ZoneName),
    /// All nodes except the receiver.
    Others(Incarnation),
}

/// A `FactBatch` holds the facts that a digest reports, in encoded form.
///
/// It is a byte string within the digest, so a malformed one does not prevent decoding of the digest. A batch
/// without bytes is valid; it only states that its sender can receive facts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FactBatch {
    bytes: Bytes,
}

impl FactBatch {
    /// Returns whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns its encoded form.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Bytes> for FactBatch {
    fn from(bytes: Bytes) -> FactBatch {
        FactBatch { bytes }
    }
}
