//! The records of backend servers that were removed.

use std::collections::{HashMap, VecDeque};

use crate::{adapter::BackendRecord, backends::Announced};

/// The maximum number of records that are kept: more than leave a large fleet within the age of a copy.
const MAX_RECORDS: usize = 1_024;

/// `RemovedRecords` are the last records of removed backend servers, and what these announced, by name.
#[derive(Debug, Default)]
pub struct RemovedRecords {
    records: HashMap<String, (BackendRecord, Announced)>,
    order: VecDeque<String>,
}

impl RemovedRecords {
    /// Notes the last record of a removed server.
    pub fn note(&mut self, name: &str, record: BackendRecord, announced: Announced) {
        if self.records.insert(name.to_owned(), (record, announced)).is_some() {
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
        removed.is_some_and(|(last, _)| record.is_same_incarnation(last) && !last.is_before(record))
    }

    /// Returns what the removed server announced if `record` is of the same incarnation.
    pub fn announced(&self, name: &str, record: &BackendRecord) -> Option<Announced> {
        let (last, announced) = self.records.get(name)?;
        record.is_same_incarnation(last).then_some(*announced)
    }

    /// Returns what the removed server with a name announced.
    pub fn announced_mut(&mut self, name: &str) -> Option<&mut Announced> {
        self.records.get_mut(name).map(|(_, announced)| announced)
    }
}
