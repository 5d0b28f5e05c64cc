//! The backend servers by name and service.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use bulrushhall_core::{Event, ServiceName, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    adapter::{BackendRecord, BackendState},
    backends::{Backend, RecordNews},
    change_log::ChangeLog,
};

/// How long after the return of the key-value service a record may stay missing: those that lapsed
/// are back within two seconds if their servers live.
const MISSING_FOR: Duration = Duration::from_millis(2_200);

/// The servers that went last of which is known when: more than a few minutes of the largest fleet.
const GONE_KEPT: usize = 4_096;

/// `Backends` are the backend servers that a node knows.
#[derive(Debug, Default)]
pub struct Backends {
    arena: SlotMap<WorkerKey, Backend>,
    names: HashMap<Arc<str>, WorkerKey>,
    /// The changes of records since the start.
    changes: ChangeLog<String, GONE_KEPT>,
}

impl Backends {
    /// Takes in the record of a backend server.
    pub fn upsert(&mut self, name: &str, record: BackendRecord) {
        if let Some(backend) = self.named_mut(name) {
            let same = backend.record.address == record.address
                && backend.record.service == record.service
                && backend.record.born == record.born;
            if same {
                backend.missing_until = None;
                if backend.record == record {
                    return;
                }
                if backend.record.state != record.state {
                    log_state(name, &record);
                }
                backend.record = record;
                self.note_change(name);
                return;
            }
            // The same name with another life knows nothing of what the earlier one held.
            self.remove(name);
        }
        log_state(name, &record);
        let backend = Backend::new(name, xxh3_64(name.as_bytes()), record);
        let name = Arc::clone(&backend.name);
        let key = self.arena.insert(backend);
        self.names.insert(Arc::clone(&name), key);
        self.note_change(&name);
    }

    fn note_change(&mut self, name: &str) {
        let at = self.changes.note();
        if let Some(backend) = self.named_mut(name) {
            backend.changed_at = at;
        }
    }

    /// Returns the changes of records after that with the number `after`, or all records where these are
    /// not known any more.
    pub fn news(&self, after: u64) -> RecordNews {
        let told = |backend: &Backend| (backend.name.to_string(), backend.record.clone());
        let records = |after| {
            let changed = self.arena.values().filter(|backend| after < backend.changed_at);
            changed.map(told).collect()
        };
        self.changes.news(after, records, |name| self.names.contains_key(name.as_str()))
    }

    /// Takes in what another node told of changes.
    pub fn take_news(&mut self, news: RecordNews) {
        let RecordNews { after, records, gone, .. } = news;
        if after == 0 {
            let told: BTreeSet<&str> = records.iter().map(|(name, _)| name.as_str()).collect();
            let names: Vec<Arc<str>> = self.names.keys().cloned().collect();
            for name in names.iter().filter(|name| !told.contains(&***name)) {
                self.remove(name);
            }
        }
        for name in gone {
            self.remove(&name);
        }
        for (name, record) in records {
            self.upsert(&name, record);
        }
    }

    /// Notes that the record of a backend server is missing; `returned_at` is when the key-value
    /// service last answered again after an outage.
    ///
    /// Records lapse while the service is away, though the servers live. Taken for gone, all servers
    /// would be lost at once. The time for them to come back counts from the service's return: a
    /// server that leaves later is gone like any other.
    pub fn note_missing(&mut self, now: Stamp, name: &str, returned_at: Option<Stamp>) {
        let until = returned_at.map(|returned_at| returned_at + MISSING_FOR);
        match (until, self.named_mut(name)) {
            (Some(until), Some(backend)) if now < until => backend.missing_until = Some(until),
            _ => self.remove(name),
        }
    }

    /// Removes those that were missing for too long.
    pub fn expire(&mut self, now: Stamp) {
        self.remove_missing(|until| until <= now);
    }

    fn remove_missing(&mut self, is_over: impl Fn(Stamp) -> bool) {
        let missing = |backend: &Backend| backend.missing_until.is_some_and(&is_over);
        let gone: Vec<Arc<str>> = self
            .arena
            .values()
            .filter(|backend| missing(backend))
            .map(|backend| Arc::clone(&backend.name))
            .collect();
        for name in gone {
            self.remove(&name);
        }
    }

    /// Removes all that are missing: another node knows that the service was not away, and that only
    /// this node's way to it was. Their records did not lapse, so the servers are gone.
    pub fn drop_missing(&mut self) {
        self.remove_missing(|_| true);
    }

    /// Keeps only those whose names are listed; others are missing.
    pub fn retain_listed(
        &mut self,
        now: Stamp,
        listed: &BTreeSet<String>,
        returned_at: Option<Stamp>,
    ) {
        let names: Vec<Arc<str>> = self.names.keys().cloned().collect();
        for name in names {
            if !listed.contains(&*name) {
                self.note_missing(now, &name, returned_at);
            }
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, name: &str) {
        let Some(key) = self.names.remove(name) else { return };
        self.arena.remove(key);
        self.changes.note_gone(name.to_owned());
        tracing::info!(event = Event::BackendGone.number(), backend = name);
    }

    /// Returns a backend server that is still known.
    pub fn get(&self, key: WorkerKey) -> Option<&Backend> {
        self.arena.get(key)
    }

    /// Returns a backend server that is still known, to be changed.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Backend> {
        self.arena.get_mut(key)
    }

    /// Returns the backend server with a name, to be changed.
    pub fn named_mut(&mut self, name: &str) -> Option<&mut Backend> {
        let key = *self.names.get(name)?;
        self.arena.get_mut(key)
    }

    /// Returns all backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Backend)> {
        self.arena.iter()
    }

    /// Returns all backend servers, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut Backend)> {
        self.arena.iter_mut()
    }

    /// Returns those of a service whose memory can be copied from, also where they leave: what they keep
    /// would be lost with them.
    pub fn keeping<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (WorkerKey, &'a Backend)> {
        self.arena.iter().filter(move |(_, backend)| {
            backend.record.service == *service
                && !backend.replaced
                && backend.missing_until.is_none()
        })
    }

    /// Returns those of a service that take new work.
    pub fn open<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (WorkerKey, &'a Backend)> {
        self.arena
            .iter()
            .filter(move |(_, backend)| backend.record.service == *service && backend.is_open())
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
