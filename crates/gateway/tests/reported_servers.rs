//! Backend servers that only another node has reported.

use std::time::Duration;

use bulrushhall_core::{ServiceName, Stamp, ZoneName};
use bulrushhall_gateway::{
    adapter::{BackendRecord, BackendState},
    backends::Backends,
};

const NOW: Stamp = Stamp::from_millis(60_000);
const SECOND: Duration = Duration::from_secs(1);
const NAME: &str = "engine-1";

fn record(sequence: u64) -> BackendRecord {
    BackendRecord {
        service: ServiceName::new("chat").expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        zone: ZoneName::new("zone-a").expect("a name"),
        slots: 16,
        state: BackendState::Ready,
        reclaimable: true,
        born: Some(1),
        version: "v2".to_owned(),
        sequence: Some(sequence),
    }
}

fn is_known(backends: &Backends) -> bool {
    backends.key_of(NAME).is_some()
}

// Guards against a server that has left and is kept for ever, and against one that can't be reported again.
#[test]
fn reports_expire() {
    let mut backends = Backends::default();
    backends.note_reported(NOW, NAME, record(2));
    backends.expire(NOW + SECOND * 4);
    assert!(is_known(&backends));
    backends.note_reported(NOW + SECOND * 4, NAME, record(2));
    backends.expire(NOW + SECOND * 6);
    assert!(is_known(&backends));
    backends.expire(NOW + SECOND * 9);
    assert!(!is_known(&backends));
    backends.note_reported(NOW + SECOND * 10, NAME, record(2));
    assert!(is_known(&backends));
}

// Guards against a registered server that is dropped because it was reported first.
#[test]
fn records_confirm() {
    for sequence in 1..=3 {
        let mut backends = Backends::default();
        backends.note_reported(NOW, NAME, record(2));
        backends.upsert(NOW + SECOND, NAME, record(sequence));
        backends.note_reported(NOW + SECOND * 2, NAME, record(2));
        backends.expire(NOW + SECOND * 60);
        assert!(is_known(&backends), "{sequence}");
    }
}

// Guards against a server that has left and returns by the report of a node that has not heard of it.
#[test]
fn left_servers_stay_away() {
    let mut backends = Backends::default();
    backends.upsert(NOW, NAME, record(2));
    backends.note_missing(NOW, NAME, None);
    backends.note_reported(NOW, NAME, record(2));
    assert!(!is_known(&backends));
}
