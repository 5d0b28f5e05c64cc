//! Which version a request goes to in a roll-out, and where its answer is counted.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_coord::rollouts::{Grant, OrderId, RolloutOrder, RolloutPhase};
use bulrushhall_core::{FencingNumber, Incarnation, ServiceName, Stamp, ZoneName};
use bulrushhall_gateway::{
    adapter::{BackendRecord, BackendState},
    backends::Backends,
    rollouts::{RolloutState, VersionFilter},
};
use bulrushhall_policy::rollout::{Track, TrackCounts, TrackGroup};

const T0: Stamp = Stamp::from_millis(60_000);
const OWN: Incarnation = Incarnation(1);
const ORDER: OrderId = OrderId { era: None, version: 5 };

fn service() -> ServiceName {
    ServiceName::new("ledger").expect("a name")
}

fn zone() -> ZoneName {
    ZoneName::new("zone-a").expect("a name")
}

fn add(backends: &mut Backends, name: &str, version: &str) {
    let record = BackendRecord {
        service: service(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: zone(),
        slots: 4,
        state: BackendState::Ready,
        reclaimable: false,
        born: None,
        version: version.to_owned(),
        sequence: None,
    };
    backends.upsert(T0, name, record);
}

fn servers(current: usize, target: usize) -> Backends {
    let mut backends = Backends::default();
    for number in 0..current {
        add(&mut backends, &format!("current-{number}"), "v1");
    }
    for number in 0..target {
        add(&mut backends, &format!("target-{number}"), "v2");
    }
    backends
}

fn in_progress() -> RolloutState {
    let mut state = RolloutState::default();
    let order = RolloutOrder { target: "v2".to_owned(), duration: Duration::from_secs(12) };
    state.known.note_order(T0, &service(), ORDER, &order);
    state
}

fn grant(state: &mut RolloutState, per_mille: u16, drains: bool) {
    let grant = Grant { fence: FencingNumber(1), number: 1, per_mille, drains };
    state.known.get_mut(&service()).expect("a roll-out").note_grant(T0, grant);
}

fn selected(backends: &Backends, filter: &VersionFilter) -> BTreeMap<String, usize> {
    let mut versions = BTreeMap::new();
    for (_, backend) in backends.iter() {
        if filter.selects(&backend.record.version, backend.identity) {
            *versions.entry(backend.record.version.clone()).or_default() += 1;
        }
    }
    versions
}

fn count_one(state: &mut RolloutState, route: &str, version: &str) {
    let key = state.answer_key(&service(), route, version, 3, false).expect("a key");
    state.count(OWN, &zone(), &key, |counts| counts.sent += 1);
}

#[test]
fn share_of_requests() {
    let mut state = in_progress();
    let target = |state: &RolloutState, is_bound| {
        let tracks = (0..1_000).map(|hash| state.track(T0, &service(), hash, is_bound));
        tracks.filter(|track| *track == Track::Target).count()
    };
    assert_eq!(target(&state, false), 0);
    grant(&mut state, 30, false);
    assert_eq!(target(&state, false), 30);
    assert_eq!(target(&state, true), 30);
}

#[test]
fn drain_of_bound_requests() {
    let mut state = in_progress();
    grant(&mut state, 30, true);
    assert_eq!(state.track(T0, &service(), 999, true), Track::Target);
    assert_eq!(state.track(T0, &service(), 999, false), Track::Current);
}

// The target version's few requests go to few of its servers, so that these are loaded as in full use.
#[test]
fn servers_of_target() {
    let mut state = in_progress();
    grant(&mut state, 100, false);
    let backends = servers(40, 40);
    let filter = state.filter(T0, &service(), Track::Target, &backends);
    assert_eq!(selected(&backends, &filter), BTreeMap::from([("v2".to_owned(), 4)]));
    let filter = state.filter(T0, &service(), Track::Current, &backends);
    assert_eq!(selected(&backends, &filter), BTreeMap::from([("v1".to_owned(), 40)]));
}

// All servers of the current version are lost. The target version may be bad, so it doesn't get their
// requests, unless it is the only version there has been.
#[test]
fn no_current_server() {
    let mut state = in_progress();
    let backends = servers(0, 4);
    let filter = |state: &RolloutState| state.filter(T0, &service(), Track::Current, &backends);
    assert_eq!(filter(&state), VersionFilter::Any);
    count_one(&mut state, "look", "v1");
    assert_eq!(selected(&backends, &filter(&state)), BTreeMap::new());
}

#[test]
fn after_the_end() {
    let backends = servers(2, 3);
    let mut reverted = in_progress();
    reverted.end(&service(), RolloutPhase::Reverted, &backends);
    let filter = reverted.filter(T0, &service(), Track::Target, &backends);
    assert_eq!(selected(&backends, &filter), BTreeMap::from([("v1".to_owned(), 2)]));
    let mut completed = in_progress();
    completed.end(&service(), RolloutPhase::Completed, &backends);
    let filter = completed.filter(T0, &service(), Track::Current, &backends);
    assert_eq!(selected(&backends, &filter), BTreeMap::from([("v2".to_owned(), 3)]));
    assert_eq!(completed.answer_key(&service(), "look", "v2", 3, false), None);
}

// A configuration may add routes by the hundred; digests hold the counts of a few.
#[test]
fn many_routes() {
    let mut state = in_progress();
    for number in 0..100 {
        count_one(&mut state, &format!("route-{number}"), "v1");
    }
    let counts = state.counts(&service(), OWN);
    assert_eq!(counts.len(), 17);
    assert_eq!(counts.iter().map(|(_, counts)| counts.sent).sum::<u64>(), 100);
}

// Counts of the roll-out before say nothing about the next one.
#[test]
fn counts_of_earlier_order() {
    let mut state = in_progress();
    count_one(&mut state, "look", "v2");
    let later = OrderId { version: 9, ..ORDER };
    let order = RolloutOrder { target: "v3".to_owned(), duration: Duration::from_secs(12) };
    assert!(state.known.note_order(T0, &service(), later, &order));
    assert!(state.reported(|counts| counts.of(OWN).into_iter().collect()).is_empty());
    count_one(&mut state, "look", "v1");
    let counts = state.counts(&service(), OWN);
    let expected = TrackCounts { sent: 1, ..TrackCounts::default() };
    assert_eq!(counts, [(("look".to_owned(), TrackGroup::CURRENT), expected)]);
}

// Guards against a stream that a roll-out moves to another version, and against one that goes on at a version that a
// roll-out has withdrawn.
#[test]
fn streams_keep_version() {
    let backends = servers(3, 2);
    let bound = |state: &RolloutState, version: &str| {
        let filter = state.bound_filter(T0, &service(), version, &backends);
        selected(&backends, &filter).into_iter().collect::<Vec<_>>()
    };
    let of = |version: &str, count| vec![(version.to_owned(), count)];
    let mut state = RolloutState::default();
    assert_eq!((bound(&state, "v1"), bound(&state, "v2")), (of("v1", 3), of("v2", 2)));
    state = in_progress();
    assert_eq!((bound(&state, "v1"), bound(&state, "v2")), (of("v1", 3), vec![]));
    grant(&mut state, 30, false);
    assert_eq!((bound(&state, "v1"), bound(&state, "v2")), (of("v1", 3), of("v2", 2)));
    state.end(&service(), RolloutPhase::Reverted, &backends);
    assert_eq!((bound(&state, "v1"), bound(&state, "v2")), (of("v1", 3), vec![]));
    state = in_progress();
    state.end(&service(), RolloutPhase::Completed, &backends);
    assert_eq!((bound(&state, "v1"), bound(&state, "v2")), (vec![], of("v2", 2)));
}
