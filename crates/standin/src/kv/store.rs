//! The state of the key-value service: keys, versions and leases.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_external::kv::{CasOutcome, Change, LeaseId, Version, Versioned};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `CallCounts` count the calls to the service, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Watches; each long poll counts once.
    pub watches: u64,
    /// Calls that were refused because of the rate limits.
    pub limited: u64,
}

/// A `Store` is the state of the key-value service; the caller passes the current time.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    tombstones: BTreeMap<String, Version>,
    leases: BTreeMap<LeaseId, Lease>,
    version: u64,
    next_lease: u64,
}

#[derive(Debug)]
struct Entry {
    version: Version,
    value: Bytes,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Stamp,
}

impl Store {
    /// Returns the value of a key; an absent key has version 0.
    pub fn get(&self, key: &str) -> Versioned {
        match self.keys.get(key) {
            Some(entry) => Versioned { version: entry.version, value: entry.value.clone() },
            None => Versioned { version: Version(0), value: Bytes::new() },
        }
    }

    /// Writes a value if the key has the expected version; `None` if the lease has expired.
    pub fn put_if(
        &mut self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Option<CasOutcome> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return None;
        }
        let current = self.get(key);
        if current.version != expected {
            return Some(CasOutcome::Conflict(current));
        }
        let version = self.next_version();
        self.tombstones.remove(key);
        self.keys.insert(key.to_owned(), Entry { version, value, lease });
        Some(CasOutcome::Written(version))
    }

    /// Removes a key if it has the expected version.
    pub fn remove_if(&mut self, key: &str, expected: Version) -> CasOutcome {
        let current = self.get(key);
        if current.version != expected {
            return CasOutcome::Conflict(current);
        }
        CasOutcome::Written(self.remove(key))
    }

    /// Returns the changes under a prefix after a version, including removals.
    pub fn changes(&self, prefix: &str, after: Version) -> Vec<Change> {
        let live = self.keys.iter().map(|(key, entry)| (key, entry.version, false));
        let tombstones = self.tombstones.iter().map(|(key, version)| (key, *version, true));
        let mut changes = Vec::new();
        for (key, version, removed) in live.chain(tombstones) {
            if version <= after || !key.starts_with(prefix) {
                continue;
            }
            changes.push(Change { key: key.clone(), version, removed, value: None });
        }
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Returns the live keys under a prefix.
    pub fn list(&self, prefix: &str) -> Vec<Change> {
        let mut changes = self.changes(prefix, Version(0));
        changes.retain(|change| !change.removed);
        changes
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Stamp, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl });
        id
    }

    /// Renews a lease; returns false if it has expired.
    pub fn renew(&mut self, now: Stamp, id: LeaseId) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Expires leases that were not renewed in time; returns whether any key was removed with them.
    pub fn expire(&mut self, now: Stamp) -> bool {
        self.leases.retain(|_, lease| now < lease.expires_at);
        let mut expired_keys = Vec::new();
        for (key, entry) in &self.keys {
            let Some(lease) = entry.lease else { continue };
            if !self.leases.contains_key(&lease) {
                expired_keys.push(key.clone());
            }
        }
        for key in &expired_keys {
            self.remove(key);
        }
        !expired_keys.is_empty()
    }

    fn remove(&mut self, key: &str) -> Version {
        self.keys.remove(key);
        let version = self.next_version();
        self.tombstones.insert(key.to_owned(), version);
        version
    }

    fn next_version(&mut self) -> Version {
        self.version += 1;
        Version(self.version)
    }
}
