//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Call;

/// The largest value that the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A `Version` is the state of a key: 0 while absent, else a number that rises with each write
/// to any key of the service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A `LeaseId` names a lease in the service; keys tied to it vanish when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A `Versioned` is a value with the version of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version of the key.
    pub version: Version,
    /// The value; empty where the key is absent.
    pub value: Bytes,
}

/// A `CasOutcome` is the answer to a compare-and-swap that the service decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written and the key has this version now.
    Written(Version),
    /// The key had another version; it is returned with its value.
    Conflict(Versioned),
}

/// A `Change` is one changed key, as a watch tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// Its version; a removed key has the version of its removal.
    pub version: Version,
    /// Whether the key was removed.
    pub removed: bool,
    /// The value, from services that send it along; none of a removed key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Bytes>,
}

/// `Changes` are the keys of a list or a watch and the state of the service they belong to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The version up to which nothing else changed below the prefix; a watch goes on from here.
    pub version: Version,
    /// The keys, in the order in which the service tells them.
    pub changes: Vec<Change>,
}

impl Changes {
    /// Returns changes of a service that tells no version of its own: the newest of them counts.
    pub fn after(after: Version, changes: Vec<Change>) -> Changes {
        let newest = changes.iter().map(|change| change.version).max();
        Changes { version: newest.map_or(after, |newest| newest.max(after)), changes }
    }
}

/// A `KeyValue` is the platform's small store with compare-and-swap, leases and watches.
///
/// Every call counts against the service's rates, a waiting watch as one.
pub trait KeyValue: Send + Sync {
    /// Gets a value; an absent key has version 0.
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned>;

    /// Writes a value where the key has the expected version, tied to a lease if one is given.
    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome>;

    /// Removes a key where it has the expected version.
    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome>;

    /// Returns the keys that start with `prefix`, with their versions.
    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Changes>;

    /// Opens a lease that lapses unless it is renewed within `ttl`.
    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId>;

    /// Renews a lease; refused with status 404 once it has lapsed.
    fn renew(&self, lease: LeaseId) -> Call<'_, ()>;

    /// Waits up to `wait` for changes after `after` below `prefix`; none came if it is empty.
    ///
    /// It fails soon after `wait` where no answer begins; one that has begun may take longer to arrive.
    fn watch<'a>(&'a self, prefix: &'a str, after: Version, wait: Duration) -> Call<'a, Changes>;
}
