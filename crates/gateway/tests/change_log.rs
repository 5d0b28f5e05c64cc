//! Updates of records for a node that may have missed some.

use std::collections::BTreeMap;

use bulrushhall_gateway::change_log::{ChangeLog, Updates};

const MAX_TOMBSTONES: usize = 4;

#[derive(Default)]
struct Records {
    log: ChangeLog<String, MAX_TOMBSTONES>,
    records: BTreeMap<String, u64>,
}

impl Records {
    fn put(&mut self, name: &str) {
        let at = self.log.note();
        self.records.insert(name.to_owned(), at);
    }

    fn remove(&mut self, name: &str) {
        self.records.remove(name);
        self.log.note_removed(name.to_owned());
    }

    fn updates_since(&self, after: u64) -> Updates<String, u64> {
        let records = |after| {
            let changed = self.records.iter().filter(|(_, at)| after < **at);
            changed.map(|(name, at)| (name.clone(), *at)).collect()
        };
        self.log.updates_since(after, records, |name| self.records.contains_key(name))
    }
}

fn names(updates: &Updates<String, u64>) -> Vec<&str> {
    updates.records.iter().map(|(name, _)| name.as_str()).collect()
}

#[test]
fn only_changes() {
    let mut records = Records::default();
    records.put("a");
    records.put("b");
    let updates = records.updates_since(0);
    assert_eq!((updates.after, updates.at, names(&updates)), (0, 2, vec!["a", "b"]));
    records.put("c");
    records.remove("a");
    let updates = records.updates_since(2);
    assert_eq!((updates.after, updates.at, names(&updates)), (2, 4, vec!["c"]));
    assert_eq!(updates.removed, ["a"]);
}

// Guards against a record that was added again and is still reported as removed.
#[test]
fn removed_and_added_again() {
    let mut records = Records::default();
    records.put("a");
    records.remove("a");
    records.put("a");
    let updates = records.updates_since(1);
    assert_eq!((names(&updates), updates.removed.len()), (vec!["a"], 0));
}

// Guards against a receiver that keeps a removed record forever because its tombstone was dropped, and against one
// that continues with the change numbers of another incarnation.
#[test]
fn dropped_tombstone_and_unknown_number() {
    let mut records = Records::default();
    for number in 0..=MAX_TOMBSTONES {
        records.put(&number.to_string());
    }
    let at = records.updates_since(0).at;
    for number in 0..=MAX_TOMBSTONES {
        records.remove(&number.to_string());
    }
    let updates = records.updates_since(at);
    assert_eq!((updates.after, updates.records.len(), updates.removed.len()), (0, 0, 0));
    assert_eq!(records.updates_since(updates.at + 1).after, 0);
}
