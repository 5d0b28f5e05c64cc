//! Updates of records for a node that may have missed some.

use std::collections::BTreeMap;

use bulrushhall_gateway::change_log::{ChangeLog, News};

const KEPT: usize = 4;

#[derive(Default)]
struct Records {
    log: ChangeLog<String, KEPT>,
    there: BTreeMap<String, u64>,
}

impl Records {
    fn put(&mut self, name: &str) {
        let at = self.log.note();
        self.there.insert(name.to_owned(), at);
    }

    fn remove(&mut self, name: &str) {
        self.there.remove(name);
        self.log.note_gone(name.to_owned());
    }

    fn news(&self, after: u64) -> News<String, u64> {
        let records = |after| {
            let changed = self.there.iter().filter(|(_, at)| after < **at);
            changed.map(|(name, at)| (name.clone(), *at)).collect()
        };
        self.log.news(after, records, |name| self.there.contains_key(name))
    }
}

fn names(news: &News<String, u64>) -> Vec<&str> {
    news.records.iter().map(|(name, _)| name.as_str()).collect()
}

#[test]
fn only_what_changed() {
    let mut records = Records::default();
    records.put("a");
    records.put("b");
    let told = records.news(0);
    assert_eq!((told.after, told.at, names(&told)), (0, 2, vec!["a", "b"]));
    records.put("c");
    records.remove("a");
    let told = records.news(2);
    assert_eq!((told.after, told.at, names(&told)), (2, 4, vec!["c"]));
    assert_eq!(told.gone, ["a"]);
}

// Guards against a record that was added again and is still reported as removed.
#[test]
fn gone_and_back() {
    let mut records = Records::default();
    records.put("a");
    records.remove("a");
    records.put("a");
    let told = records.news(1);
    assert_eq!((names(&told), told.gone.len()), (vec!["a"], 0));
}

// Guards against a receiver that keeps a removed record forever because its tombstone was dropped, and against one
// that continues with the change numbers of another incarnation.
#[test]
fn forgotten() {
    let mut records = Records::default();
    for number in 0..=KEPT {
        records.put(&number.to_string());
    }
    let at = records.news(0).at;
    for number in 0..=KEPT {
        records.remove(&number.to_string());
    }
    let told = records.news(at);
    assert_eq!((told.after, told.records.len(), told.gone.len()), (0, 0, 0));
    assert_eq!(records.news(told.at + 1).after, 0);
}
