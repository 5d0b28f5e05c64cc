//! Backend servers that only another node has reported.

use std::time::Duration;

use bulrushhall_coord::{Role, streams::StreamOrigin};
use bulrushhall_core::{Incarnation, ServiceName, Stamp, ZoneName};
use bulrushhall_gateway::{
    adapter::{BackendRecord, BackendState},
    backends::Backends,
    cluster::{FindServers, RecordCursor, VersionServers, known_servers, used_until},
    gateway::State,
};

const NOW: Stamp = Stamp::from_millis(60_000);
const SECOND: Duration = Duration::from_secs(1);
const NAME: &str = "engine-1";

fn record(sequence: u64) -> BackendRecord {
    BackendRecord {
        service: service(),
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

fn service() -> ServiceName {
    ServiceName::new("chat").expect("a name")
}

fn asked() -> FindServers {
    FindServers { origin: StreamOrigin { service: service(), version: "v2".to_owned() } }
}

fn report(backends: &mut Backends, at: Stamp) {
    backends.note_reported(at, at + SECOND * 2, NAME, record(2));
}

fn is_known(backends: &Backends) -> bool {
    backends.key_of(NAME).is_some()
}

// Guards against a server that has left and is kept for ever, and against one that can't be reported again.
#[test]
fn reports_expire() {
    let mut backends = Backends::default();
    report(&mut backends, NOW);
    backends.expire(NOW + SECOND);
    assert!(is_known(&backends));
    report(&mut backends, NOW + SECOND);
    backends.expire(NOW + SECOND * 2);
    assert!(is_known(&backends));
    backends.expire(NOW + SECOND * 3);
    assert!(!is_known(&backends));
    report(&mut backends, NOW + SECOND * 10);
    assert!(is_known(&backends));
}

// Guards against a registered server that is dropped because it was reported first.
#[test]
fn records_confirm() {
    for sequence in 1..=3 {
        let mut backends = Backends::default();
        report(&mut backends, NOW);
        backends.upsert(NOW + SECOND, NAME, record(sequence));
        report(&mut backends, NOW + SECOND * 2);
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
    report(&mut backends, NOW);
    assert!(!is_known(&backends));
}

// Guards against a server that has left and gets new requests, or reaches members, by the report of another node.
#[test]
fn only_for_streams() {
    let mut backends = Backends::default();
    report(&mut backends, NOW);
    assert_eq!(backends.accepting(&service()).count(), 0);
    assert_eq!(backends.copy_sources(&service()).count(), 0);
    assert!(backends.updates_since(0).records.is_empty());
    let resumed = |now, version| backends.accepting_resumed(now, &service(), version).count();
    assert_eq!(resumed(NOW, "v2"), 1);
    assert_eq!(resumed(NOW, "v1"), 0);
    assert_eq!(resumed(NOW + SECOND * 2, "v2"), 0);
}

// Guards against members that don't hear of a server that registers after it was reported.
#[test]
fn confirmed_for_members() {
    for sequence in 1..=3 {
        let mut backends = Backends::default();
        backends.upsert(NOW, "engine-0", record(1));
        report(&mut backends, NOW);
        let at = backends.updates_since(0).at;
        backends.upsert(NOW + SECOND, NAME, record(sequence));
        let updates = backends.updates_since(at);
        let names: Vec<&str> = updates.records.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names, [NAME], "{sequence}");
    }
}

// Guards against a server that has left and gets requests by the report of a node that does not reach the store.
#[test]
fn old_lists_stay() {
    let mut state = State::default();
    state.backends.upsert(NOW, NAME, record(2));
    assert_eq!(known_servers(&state, NOW, &asked()), VersionServers::default());
    state.records_known_at = Some(NOW);
    for ms in (0..10_000).step_by(50) {
        let now = NOW + Duration::from_millis(ms);
        let known = known_servers(&state, now, &asked());
        assert_eq!(known.servers.len(), usize::from(ms < 1_600), "{ms}");
        assert!(known.servers.is_empty() || used_until(now, &known) <= NOW + SECOND * 2, "{ms}");
    }
}

// Guards against the same by way of a relay, which supplies records that are up to 1 s old.
#[test]
fn old_relayed_lists_stay() {
    let mut state = State { records_known_at: Some(NOW), ..State::default() };
    state.backends.upsert(NOW, NAME, record(2));
    state.relays.role = Role::Member;
    let cursor = RecordCursor { relay: Incarnation(1), backends: 1, members: 1 };
    state.relayed_records = Some((cursor, NOW));
    for ms in (0..1_000).step_by(50) {
        let now = NOW + Duration::from_millis(ms);
        let known = known_servers(&state, now, &asked());
        assert_eq!(known.servers.len(), usize::from(ms < 600), "{ms}");
        assert!(known.servers.is_empty() || used_until(now, &known) <= NOW + SECOND, "{ms}");
    }
}

// Guards against a server that members lose because a relay that it was reported to drops it.
#[test]
fn members_hear_nothing() {
    let mut backends = Backends::default();
    backends.upsert(NOW, "engine-0", record(1));
    let at = backends.updates_since(0).at;
    report(&mut backends, NOW);
    assert!(backends.updates_since(at).removed.is_empty());
    backends.expire(NOW + SECOND * 2);
    assert!(backends.updates_since(at).removed.is_empty());
}
