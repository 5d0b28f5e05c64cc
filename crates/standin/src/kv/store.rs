//! The state of the key-value service: keys, versions and leases.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_external::kv::{CasOutcome, Change, LeaseId, Version, Versioned};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `CallCounts` count the calls that the service has taken, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Watches, one for each that was waited on.
    pub watches: u64,
    /// Calls refused because of the rate limits.
    pub limited: u64,
}

/// A `Store` is the state of the key-value service, with time passed in from outside.
#[derive(Debug, Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    removed: BTreeMap<String, Version>,
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
    lapses: Stamp,
}

impl Store {
    /// Gets a value; an absent key has version 0.
    pub fn get(&self, key: &str) -> Versioned {
        match self.keys.get(key) {
            Some(entry) => Versioned { version: entry.version, value: entry.value.clone() },
            None => Versioned { version: Version(0), value: Bytes::new() },
        }
    }

    /// Writes a value where the key has the expected version.
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
        let found = self.get(key);
        if found.version != expected {
            return Some(CasOutcome::Conflict(found));
        }
        let version = self.bump();
        self.removed.remove(key);
        self.keys.insert(key.to_owned(), Entry { version, value, lease });
        Some(CasOutcome::Written(version))
    }

    /// Removes a key where it has the expected version.
    pub fn remove_if(&mut self, key: &str, expected: Version) -> CasOutcome {
        let found = self.get(key);
        if found.version != expected {
            return CasOutcome::Conflict(found);
        }
        CasOutcome::Written(self.remove(key))
    }

    /// Returns the changes after a version below a prefix, removals included.
    pub fn changes(&self, prefix: &str, after: Version) -> Vec<Change> {
        let live = self.keys.iter().map(|(key, entry)| (key, entry.version, false));
        let gone = self.removed.iter().map(|(key, version)| (key, *version, true));
        let mut changes = Vec::new();
        for (key, version, removed) in live.chain(gone) {
            if version <= after || !key.starts_with(prefix) {
                continue;
            }
            changes.push(Change { key: key.clone(), version, removed, value: None });
        }
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Returns the live keys below a prefix.
    pub fn list(&self, prefix: &str) -> Vec<Change> {
        let mut changes = self.changes(prefix, Version(0));
        changes.retain(|change| !change.removed);
        changes
    }

    /// Opens a lease.
    pub fn grant(&mut self, now: Stamp, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        self.leases.insert(id, Lease { ttl, lapses: now + ttl });
        id
    }

    /// Renews a lease; false once it has lapsed.
    pub fn renew(&mut self, now: Stamp, id: LeaseId) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.lapses = now + lease.ttl;
        true
    }

    /// Lets leases lapse that were not renewed in time; returns whether any key vanished.
    pub fn expire(&mut self, now: Stamp) -> bool {
        self.leases.retain(|_, lease| now < lease.lapses);
        let mut vanished = Vec::new();
        for (key, entry) in &self.keys {
            let Some(lease) = entry.lease else { continue };
            if !self.leases.contains_key(&lease) {
                vanished.push(key.clone());
            }
        }
        for key in &vanished {
            self.remove(key);
        }
        !vanished.is_empty()
    }

    fn remove(&mut self, key: &str) -> Version {
        self.keys.remove(key);
        let version = self.bump();
        self.removed.insert(key.to_owned(), version);
        version
    }

    fn bump(&mut self) -> Version {
        self.version += 1;
        Version(self.version)
    }
}
