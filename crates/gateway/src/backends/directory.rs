//! The known backend servers, by name and service.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_core::{Event, ServiceName, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    adapter::{BackendRecord, BackendState},
    backends::{
        Announced, Backend, BackendUpdates, LimitReport, ServerRoom, removed::RemovedRecords,
    },
    change_log::ChangeLog,
    clock,
};

/// How long a record may stay missing after the key-value service recovers: live servers rewrite their
/// expired records within two seconds.
const MISSING_GRACE: Duration = Duration::from_millis(2_200);

/// How long after a restore of the key-value service records of servers that have left may be in it:
/// they expire after three heartbeats without a write.
const RESTORED_RECORDS_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of tombstones of removed servers: enough for some minutes in the largest fleet.
const MAX_TOMBSTONES: usize = 4_096;

/// `Backends` are the backend servers that a node knows.
#[derive(Debug, Default)]
pub struct Backends {
    arena: SlotMap<WorkerKey, Backend>,
    names: HashMap<Arc<str>, WorkerKey>,
    /// The record changes since the start.
    changes: ChangeLog<String, MAX_TOMBSTONES>,
    removed: RemovedRecords,
    /// Until when records that were removed before may reappear from an older copy of the key-value
    /// service.
    restored_until: Option<Stamp>,
}

impl Backends {
    /// Notes that the key-value service was restored from an older copy, which may hold older records
    /// and those of servers that have left since.
    pub fn note_restored(&mut self, now: Stamp) {
        self.restored_until = Some(now + RESTORED_RECORDS_TIMEOUT);
    }

    /// Adds or updates the record of a backend server at `now`. A record older than the known one, or
    /// than one that was removed before a restore of the key-value service, changes nothing.
    pub fn upsert(&mut self, now: Stamp, name: &str, record: BackendRecord) {
        let is_restored = self.restored_until.is_some_and(|until| now < until);
        if is_restored && self.removed.holds(name, &record) {
            return;
        }
        if let Some(backend) = self.named_mut(name) {
            if record.is_before(&backend.record) {
                if backend.reported_until.take().is_some() {
                    self.note_change(name);
                }
                return;
            }
            if record.is_same_incarnation(&backend.record) {
                backend.missing_until = None;
                let was_reported = backend.reported_until.take().is_some();
                if backend.record.says_same(&record) {
                    backend.record = record;
                    if was_reported {
                        self.note_change(name);
                    }
                    return;
                }
                if backend.record.state != record.state {
                    log_state(name, &record);
                }
                backend.record = record;
                backend.note_record_state(now);
                self.note_change(name);
                return;
            }
            // Another incarnation under the same name has lost the state of the earlier one.
            self.remove(name);
        }
        log_state(name, &record);
        let mut backend = Backend::new(name, xxh3_64(name.as_bytes()), record);
        backend.known_since = now;
        backend.note_record_state(now);
        // Records expire in an outage although their servers are alive, and what these said remains true.
        let announced = self.removed.announced(name, &backend.record);
        backend.announced = announced.unwrap_or_default();
        backend.room = ServerRoom::new(now);
        let name = Arc::clone(&backend.name);
        let key = self.arena.insert(backend);
        self.names.insert(Arc::clone(&name), key);
        self.note_change(&name);
    }

    /// Adds a server until `until` that another node reports for a stream that began at its version. A server that is
    /// known, or whose record was removed after that one, stays as it is.
    pub fn note_reported(&mut self, now: Stamp, until: Stamp, name: &str, record: BackendRecord) {
        if let Some(backend) = self.named_mut(name) {
            if backend.reported_until.is_some() && record.is_same_incarnation(&backend.record) {
                backend.reported_until = backend.reported_until.max(Some(until));
            }
            return;
        }
        if self.removed.holds(name, &record) {
            return;
        }
        self.upsert(now, name, record);
        if let Some(backend) = self.named_mut(name) {
            backend.reported_until = Some(until);
        }
    }

    fn note_change(&mut self, name: &str) {
        let at = self.changes.note();
        if let Some(backend) = self.named_mut(name) {
            backend.changed_at = at;
        }
    }

    /// Returns the updates after the change `after`, or all records if the log does not reach back that far. Servers that
    /// only other nodes have reported are left out.
    pub fn updates_since(&self, after: u64) -> BackendUpdates {
        let entry = |backend: &Backend| (backend.name.to_string(), backend.record.clone());
        let records = |after| {
            let listed = self.arena.values().filter(|backend| backend.reported_until.is_none());
            listed.filter(|backend| after < backend.changed_at).map(entry).collect()
        };
        self.changes.updates_since(after, records, |name| self.is_listed(name))
    }

    fn is_listed(&self, name: &str) -> bool {
        let backend = self.names.get(name).and_then(|key| self.arena.get(*key));
        backend.is_some_and(|backend| backend.reported_until.is_none())
    }

    /// Applies updates from another node.
    pub fn apply_updates(&mut self, now: Stamp, updates: BackendUpdates) {
        let BackendUpdates { after, records, removed, .. } = updates;
        if after == 0 {
            let listed: BTreeSet<&str> = records.iter().map(|(name, _)| name.as_str()).collect();
            let names: Vec<Arc<str>> = self.names.keys().cloned().collect();
            for name in names.iter().filter(|name| !listed.contains(&***name)) {
                self.remove(name);
            }
        }
        for name in removed {
            self.remove(&name);
        }
        for (name, record) in records {
            self.upsert(now, &name, record);
        }
    }

    /// Notes that the record of a backend server is missing; `recovered_at` is when the key-value
    /// service last recovered from an outage.
    ///
    /// Records expire during an outage although their servers are alive. If they were removed, all
    /// servers would be lost at once. The grace period starts when the service recovers: a record that
    /// disappears after it is removed at once.
    pub fn note_missing(&mut self, now: Stamp, name: &str, recovered_at: Option<Stamp>) {
        let until = recovered_at.map(|recovered_at| recovered_at + MISSING_GRACE);
        match (until, self.named_mut(name)) {
            (Some(until), Some(backend)) if now < until => backend.missing_until = Some(until),
            _ => self.remove(name),
        }
    }

    /// Removes the servers whose grace period is over, and those that others reported too long ago.
    pub fn expire(&mut self, now: Stamp) {
        self.remove_missing(|until| until <= now);
        let reported = self
            .arena
            .values()
            .filter(|backend| backend.reported_until.is_some_and(|until| until <= now));
        let expired: Vec<Arc<str>> = reported.map(|backend| Arc::clone(&backend.name)).collect();
        for name in expired {
            self.forget(&name);
        }
    }

    fn remove_missing(&mut self, is_expired: impl Fn(Stamp) -> bool) {
        let missing = |backend: &Backend| backend.missing_until.is_some_and(&is_expired);
        let expired: Vec<Arc<str>> = self
            .arena
            .values()
            .filter(|backend| missing(backend))
            .map(|backend| Arc::clone(&backend.name))
            .collect();
        for name in expired {
            self.remove(&name);
        }
    }

    /// Removes all servers whose records are missing: another node has proven that the service had no
    /// outage and that only this node could not reach it. The records did not expire, so the servers
    /// have left.
    pub fn drop_missing(&mut self) {
        self.remove_missing(|_| true);
    }

    /// Notes that the records of all servers whose names are not in `listed` are missing.
    pub fn retain_listed(
        &mut self,
        now: Stamp,
        listed: &BTreeSet<String>,
        recovered_at: Option<Stamp>,
    ) {
        let names: Vec<Arc<str>> = self.names.keys().cloned().collect();
        for name in names {
            if !listed.contains(&*name) {
                self.note_missing(now, &name, recovered_at);
            }
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, name: &str) {
        let Some(backend) = self.forget(name) else { return };
        self.removed.note(clock::now(), name, backend.record, backend.announced);
    }

    // Removes a backend server of which it is not known that it has left.
    fn forget(&mut self, name: &str) -> Option<Backend> {
        let backend = self.names.remove(name).and_then(|key| self.arena.remove(key))?;
        // Members have not been told of a server that only another node has reported.
        if backend.reported_until.is_none() {
            self.changes.note_removed(name.to_owned());
        }
        tracing::info!(event = Event::BackendGone.number(), backend = name);
        Some(backend)
    }

    /// Returns when the record of a server at an address was removed that had said that it was leaving.
    pub fn left_at(&self, name: &str, address: SocketAddr) -> Option<Stamp> {
        self.removed.left_at(name, address)
    }

    /// Returns what a backend server has announced, also if it has been removed since.
    pub fn announced_mut(&mut self, key: WorkerKey, name: &str) -> Option<&mut Announced> {
        match self.arena.get_mut(key) {
            Some(backend) => Some(&mut backend.announced),
            None => self.removed.announced_mut(name),
        }
    }

    /// Returns the backend servers that are leaving and that other nodes may take for ready, with their start
    /// times.
    pub fn leaving_reports(&self, now: Stamp) -> Vec<(String, Option<u64>)> {
        let leaving = self.arena.values().filter(|backend| backend.is_leaving_reported(now));
        leaving.map(|backend| (backend.name.to_string(), backend.record.born)).collect()
    }

    /// Returns the statements of backend servers about their limits that are reported in a gossip round.
    pub fn limit_reports(&self, now: Stamp, round: u64) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for backend in self.arena.values() {
            let note = backend.announced.reported_limit(now, backend.identity, round);
            let Some(note) = note else { continue };
            reports.push(LimitReport {
                backend: backend.name.to_string(),
                born: backend.record.born,
                per_second: note.per_second,
                age_ms: u64::try_from(now.since(note.at).as_millis()).unwrap_or(u64::MAX),
                author: note.author,
                number: note.number,
            });
        }
        reports
    }

    /// Returns a backend server.
    pub fn get(&self, key: WorkerKey) -> Option<&Backend> {
        self.arena.get(key)
    }

    /// Returns a mutable reference to a backend server.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Backend> {
        self.arena.get_mut(key)
    }

    /// Returns the key of the backend server with a name.
    pub fn key_of(&self, name: &str) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    /// Returns a mutable reference to the backend server with a name.
    pub fn named_mut(&mut self, name: &str) -> Option<&mut Backend> {
        let key = *self.names.get(name)?;
        self.arena.get_mut(key)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Backend)> {
        self.arena.iter()
    }

    /// Returns mutable references to all backend servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Backend)> {
        self.arena.iter_mut()
    }

    /// Returns the servers of a service from whose prefix caches others can copy. This includes leaving
    /// servers, as their cached parts would be lost with them.
    pub fn copy_sources<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (WorkerKey, &'a Backend)> {
        self.arena.iter().filter(move |(_, backend)| {
            backend.record.service == *service
                && !backend.replaced
                && backend.missing_until.is_none()
                && backend.reported_until.is_none()
        })
    }

    /// Returns the servers of a version that accept new work of streams that began there, also those that only other
    /// nodes have reported.
    pub fn accepting_resumed<'a>(
        &'a self,
        now: Stamp,
        service: &'a ServiceName,
        version: &'a str,
    ) -> impl Iterator<Item = (WorkerKey, &'a Backend)> {
        self.arena.iter().filter(move |(_, backend)| {
            backend.record.service == *service
                && backend.record.version == version
                && backend.accepts_work()
                && backend.reported_until.is_none_or(|until| now < until)
        })
    }

    /// Returns the servers of a service that accept new work, without those that only other nodes have reported.
    pub fn accepting<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (WorkerKey, &'a Backend)> {
        self.arena.iter().filter(move |(_, backend)| {
            backend.record.service == *service
                && backend.reported_until.is_none()
                && backend.accepts_work()
        })
    }
}

fn log_state(name: &str, record: &BackendRecord) {
    let (service, zone) = (record.service.as_str(), record.zone.as_str());
    match record.state {
        BackendState::Ready => {
            tracing::info!(
                event = Event::BackendReady.number(),
                backend = name,
                service,
                zone,
                version = record.version.as_str(),
                address = %record.address,
                reclaimable = record.reclaimable
            );
        }
        BackendState::Leaving(after) => {
            tracing::info!(
                event = Event::BackendLeaving.number(),
                backend = name,
                service,
                zone,
                ?after
            );
        }
    }
}
