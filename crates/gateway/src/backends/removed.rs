//! The records of backend servers that were removed.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use bulrushhall_core::Stamp;

use crate::{
    adapter::{BackendRecord, BackendState},
    backends::Announced,
};

/// The maximum number of records that are kept: more than leave a large fleet within the age of a copy.
const MAX_RECORDS: usize = 1_024;

/// `RemovedRecords` are the last records of removed backend servers, and what these announced, by name.
#[derive(Debug, Default)]
pub struct RemovedRecords {
    records: HashMap<String, RemovedRecord>,
    order: VecDeque<String>,
}

#[derive(Debug)]
struct RemovedRecord {
    record: BackendRecord,
    announced: Announced,
    removed_at: Stamp,
}

impl RemovedRecords {
    /// Notes the last record of a removed server.
    pub fn note(&mut self, now: Stamp, name: &str, record: BackendRecord, announced: Announced) {
        let removed = RemovedRecord { record, announced, removed_at: now };
        if self.records.insert(name.to_owned(), removed).is_some() {
            return;
        }
        self.order.push_back(name.to_owned());
        if MAX_RECORDS < self.order.len()
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Returns whether `record` was written no later than the last record of the same incarnation.
    pub fn holds(&self, name: &str, record: &BackendRecord) -> bool {
        let removed = self.records.get(name);
        removed.is_some_and(|RemovedRecord { record: last, .. }| {
            record.is_same_incarnation(last) && !last.is_before(record)
        })
    }

    /// Returns what the removed server announced if `record` is of the same incarnation.
    pub fn announced(&self, name: &str, record: &BackendRecord) -> Option<Announced> {
        let RemovedRecord { record: last, announced, .. } = self.records.get(name)?;
        record.is_same_incarnation(last).then_some(*announced)
    }

    /// Returns what the removed server with a name announced.
    pub fn announced_mut(&mut self, name: &str) -> Option<&mut Announced> {
        self.records.get_mut(name).map(|removed| &mut removed.announced)
    }

    /// Returns when the record of a server at an address was removed that had said that it was leaving.
    pub fn left_at(&self, name: &str, address: SocketAddr) -> Option<Stamp> {
        let RemovedRecord { record, announced, removed_at } = self.records.get(name)?;
        let was_leaving = record.state != BackendState::Ready || announced.is_leaving();
        (was_leaving && record.address == address).then_some(*removed_at)
    }
}
