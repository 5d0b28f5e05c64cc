//! The platform's key-value service.

use std::time::Duration;

use bulrushhall_core::Era;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Call;

/// The maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A `Version` is 0 for an absent key, else a number that increases with each write to any key of
/// the service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A `LeaseId` identifies a lease in the service; keys attached to it are removed when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A `Versioned` is a value with the version of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version of the key.
    pub version: Version,
    /// The value; empty if the key is absent.
    pub value: Bytes,
}

/// A `CasOutcome` is the result of a compare-and-swap that the service completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written, and the key now has this version.
    Written(Version),
    /// The key had another version, which is returned with its value.
    Conflict(Versioned),
}

/// A `Change` is one changed key, as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The version; a removed key has the version of its removal.
    pub version: Version,
    /// Whether the key was removed.
    pub removed: bool,
    /// The value, if the service includes it; `None` for a removed key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Bytes>,
}

/// `Changes` are the keys in the response to a list or a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The version up to which the changes are complete; the next watch starts from it.
    pub version: Version,
    /// The keys, in the order in which the service reports them.
    pub changes: Vec<Change>,
}

impl Changes {
    /// Returns the changes of a service that reports no overall version: the newest of them is used.
    pub fn after(after: Version, changes: Vec<Change>) -> Changes {
        let newest = changes.iter().map(|change| change.version).max();
        Changes { version: newest.map_or(after, |newest| newest.max(after)), changes }
    }
}

/// A `KeyValue` is the platform's key-value store with compare-and-swap, leases and watches.
///
/// Every call counts against the service's rate limits; a waiting watch counts once.
pub trait KeyValue: Send + Sync {
    /// Returns the latest era of the service that is known; none for a service that reports none.
    ///
    /// A response of an earlier era is discarded with [`CallFault::EarlierEra`](crate::CallFault).
    fn era(&self) -> Option<Era> {
        None
    }

    /// Notes the era that another node has seen.
    fn note_era(&self, _era: Era) {}

    /// Gets a value; an absent key has version 0.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned>;

    /// Writes a value if the key has the expected version, attached to a lease if one is given.
    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome>;

    /// Removes a key if it has the expected version.
    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome>;

    /// Returns the keys that start with `prefix`, with their versions.
    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Changes>;

    /// Creates a lease that expires unless it is renewed within `ttl`.
    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId>;

    /// Renews a lease; fails with status 404 once it has expired.
    fn renew(&self, lease: LeaseId) -> Call<'_, ()>;

    /// Waits up to `wait` for changes after `after` below `prefix`; empty if there were none.
    ///
    /// Fails soon after `wait` if no response begins; one that has begun may take longer to arrive.
    fn watch<'a>(&'a self, prefix: &'a str, after: Version, wait: Duration) -> Call<'a, Changes>;
}
