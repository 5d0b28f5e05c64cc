//! What a node knows of the versions at which streams began.

use std::{collections::BTreeSet, time::Duration};

use bulrushhall_coord::streams::{
    COPIES, Found, ServiceVersions, StreamBatch, StreamCopies, StreamKey, StreamOrigin,
    StreamOrigins, VersionConfirmations, VersionsReport, asked_nodes, copy_holders,
};
use bulrushhall_core::{Incarnation, ServiceName, Stamp, TeamName};
use proptest::prelude::*;
use rstest::rstest;

const T0: Stamp = Stamp::from_millis(100_000);
const SECOND: Duration = Duration::from_secs(1);
const LIFETIME: Duration = Duration::from_secs(10);

fn service() -> ServiceName {
    ServiceName::new("engines").expect("a name")
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: service(), version: version.to_owned() }
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

// Guards against a stream of another team that is found under the same id.
#[test]
fn keys_of_teams() {
    let (one, other) = (team("workshop"), team("archive"));
    let keys = [Some(&one), Some(&other), None].map(|team| StreamKey::new(team, "a-1"));
    assert_eq!(BTreeSet::from(keys).len(), 3);
    assert_ne!(StreamKey::new(Some(&one), "1"), StreamKey::new(None, "workshop1"));
}

// Guards against a choice between two versions that are known for one stream.
#[test]
fn two_origins_are_ambiguous() {
    let mut origins = StreamOrigins::default();
    let key = StreamKey(1);
    origins.note(T0, LIFETIME, key, Some(&origin("v1")));
    assert_eq!(origins.find(T0, key), Some(Found::Origin(origin("v1"))));
    origins.note(T0, LIFETIME, key, Some(&origin("v2")));
    assert_eq!(origins.find(T0, key), Some(Found::Ambiguous));
    origins.note(T0, LIFETIME, key, Some(&origin("v1")));
    assert_eq!(origins.find(T0, key), Some(Found::Ambiguous));
}

// Guards against streams that are kept for ever, and against one that is forgotten although it went on.
#[test]
fn origins_expire() {
    let mut origins = StreamOrigins::default();
    for number in 0..100 {
        origins.note(T0, LIFETIME, StreamKey(number), Some(&origin("v1")));
    }
    let later = T0 + LIFETIME / 2;
    origins.note(later, LIFETIME, StreamKey(0), Some(&origin("v1")));
    let ended = T0 + LIFETIME;
    assert_eq!(origins.find(ended, StreamKey(1)), None);
    assert_eq!(origins.find(ended, StreamKey(0)), Some(Found::Origin(origin("v1"))));
    origins.note(ended, LIFETIME, StreamKey(200), Some(&origin("v2")));
    assert_eq!(origins.count(), 2);
}

// Guards against memory that grows with the number of streams.
#[test]
fn origins_are_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..100_000 {
        origins.note(T0, LIFETIME, StreamKey(number), Some(&origin("v1")));
    }
    assert!(origins.count() <= 40_000);
    assert!(origins.find(T0, StreamKey(99_999)).is_some());
}

// Guards against copies that are lost with the node that refused them, and against copies that are sent for ever.
#[test]
fn refused_copies_go_elsewhere() {
    let mut origins = StreamOrigins::default();
    let mut copies = StreamCopies::default();
    origins.note(T0, LIFETIME, StreamKey(7), Some(&origin("v1")));
    copies.push(StreamKey(7));
    let mut sends = 0;
    while !copies.is_empty() {
        let deliveries = copies.take(T0, &origins, &[1, 2, 3]);
        assert_eq!(deliveries.len(), COPIES);
        let Some((node, delivery)) = deliveries.into_iter().next() else { continue };
        copies.push_refused(&delivery, node);
        if let Some(again) = copies.take(T0, &origins, &[1, 2, 3]).keys().next() {
            assert_ne!(*again, node);
            copies.push_refused(&delivery, node);
        }
        sends += 1;
        assert!(sends < 20);
    }
}

// Guards against a copy at a node that nobody asks, also if nodes came or went in between.
#[rstest]
#[case::same_nodes(20, 0, 0)]
#[case::owner_died(20, 1, 0)]
#[case::node_joined(20, 0, 1)]
#[case::both(5, 1, 1)]
fn holders_are_asked(#[case] nodes: u64, #[case] gone: u64, #[case] joined: u64) {
    for number in 0..1_000 {
        let key = StreamKey(xxhash_rust::xxh3::xxh3_64(&u64::to_le_bytes(number)));
        let ids = |range: std::ops::Range<u64>| range.map(|id| (id.wrapping_mul(0x9e37), id));
        // Node 0 begins the stream and asks nobody.
        let holders = copy_holders(key, ids(1..nodes));
        let reader = nodes - 1;
        if holders.contains(&reader) {
            continue;
        }
        let others = ids(gone..nodes + joined).filter(|(_, id)| *id != reader);
        let asked = asked_nodes(key, others);
        assert!(holders.iter().any(|holder| asked.contains(holder)), "{number}");
    }
}

fn versions(seen: &[(u64, &str)]) -> ServiceVersions {
    let mut versions = ServiceVersions::at_first_start();
    for (seconds, version) in seen {
        versions.note(T0 + SECOND * *seconds as u32, &service(), version);
    }
    versions
}

// Guards against an only version where another one has served lately, or where this node can't know it.
#[rstest]
#[case::one(&[(0, "v1"), (20, "v1")], Some("v1"))]
#[case::two(&[(0, "v1"), (20, "v2")], Some("v2"))]
#[case::lately(&[(15, "v1"), (20, "v2")], None)]
#[case::none_left(&[(0, "v1")], None)]
fn only_version(#[case] seen: &[(u64, &str)], #[case] only: Option<&str>) {
    let now = T0 + SECOND * 20;
    assert_eq!(versions(seen).only(now, &service(), LIFETIME), only);
}

// Guards against a node that takes what it has seen since its start, for all there was, and one that was out of touch.
#[test]
fn knowledge_reaches_back() {
    let now = T0 + LIFETIME * 3;
    let mut restarted = ServiceVersions::default();
    restarted.note(now, &service(), "v2");
    assert_eq!(restarted.only(now, &service(), LIFETIME), None);
    let mut other = versions(&[(0, "v1")]);
    other.note(now, &service(), "v2");
    let report = other.report(now).expect("a report");
    restarted.receive(now, &report);
    assert_eq!(restarted.only(now, &service(), LIFETIME), None);
    let caught_up = now + SECOND * 3;
    assert_eq!(restarted.only(caught_up, &service(), LIFETIME), Some("v2"));
    restarted.note_out_of_touch(caught_up);
    assert_eq!(restarted.only(caught_up, &service(), LIFETIME), None);
    assert_eq!(restarted.only(caught_up + SECOND * 3, &service(), LIFETIME), Some("v2"));
}

// Guards against new streams at a version of which other nodes have not heard.
#[test]
fn new_versions_settle() {
    let versions = versions(&[(0, "v1"), (20, "v2")]);
    let now = T0 + SECOND * 20;
    let settled = |at| ["v1", "v2", "v3"].map(|it| versions.is_settled(at, &service(), it));
    assert_eq!(settled(now), [true, false, false]);
    assert_eq!(settled(now + SECOND), [true, false, false]);
    assert_eq!(settled(now + SECOND * 2), [true, true, false]);
}

// Guards against new streams at a version of which other nodes have not heard, because the older one has left.
#[test]
fn new_versions_are_held() {
    let versions = versions(&[(0, "v1"), (20, "v2")]);
    let now = T0 + SECOND * 20;
    let held = |at, version| versions.held_for(at, &service(), version).is_some();
    assert!(held(now, "v2") && held(now, "v3"));
    assert!(!held(now, "v1"));
    assert!(!held(now + SECOND * 2, "v2"));
}

// Guards against a version that counts as known to all because some know it, or knew it once.
#[test]
fn all_nodes_confirm() {
    let now = T0 + SECOND * 3;
    let nodes = [Incarnation(1), Incarnation(2)];
    let mut confirmations = VersionConfirmations::default();
    let all_know = |confirmations: &VersionConfirmations, at| {
        confirmations.all_know(at, &service(), "v2", nodes)
    };
    confirmations.note(now, nodes[0], &other_report(now, "v2"));
    confirmations.note(now, nodes[1], &other_report(now, "v1"));
    assert!(!all_know(&confirmations, now));
    let long_ago = other_report(now + SECOND * 60, "v2");
    confirmations.note(now, nodes[1], &long_ago);
    assert!(!all_know(&confirmations, now));
    confirmations.note(now, nodes[1], &other_report(now, "v2"));
    assert!(all_know(&confirmations, now));
    assert!(!all_know(&confirmations, now + SECOND * 3));
    confirmations.retain(|node| node == nodes[0]);
    assert!(!all_know(&confirmations, now));
}

// Guards against a start of all nodes that keeps streams waiting.
#[rstest]
#[case::one(&[(0, "v1")])]
#[case::two(&[(0, "v1"), (0, "v2")])]
fn first_versions_are_not_held(#[case] seen: &[(u64, &str)]) {
    for (_, version) in seen {
        assert_eq!(versions(seen).held_for(T0, &service(), version), None);
    }
}

// Guards against new streams at a version that comes back, of which other nodes have not heard again.
#[test]
fn returning_versions_settle() {
    let mut versions = versions(&[(0, "v1"), (1, "v2"), (3, "v2")]);
    let back = T0 + SECOND * 600;
    versions.note(back, &service(), "v1");
    versions.note(back, &service(), "v2");
    assert!(!versions.is_settled(back, &service(), "v2"));
    // A node that has not seen it for as long tells nothing else.
    let report = other_report(back, "v2");
    versions.receive(back, &report);
    assert!(!versions.is_settled(back, &service(), "v2"));
    assert!(versions.is_settled(back + SECOND * 2, &service(), "v2"));
}

fn other_report(now: Stamp, version: &str) -> VersionsReport {
    versions(&[(1, version), (3, version)]).report(now).expect("a report")
}

// Guards against a version that a node forgets between two reports of others, because streams of its route are short.
#[test]
fn short_streams() {
    let mut versions = ServiceVersions::at_first_start();
    let reported = T0 + SECOND * 3;
    versions.receive(reported, &other_report(reported, "v2"));
    versions.note(reported, &service(), "v1");
    let now = reported + Duration::from_millis(1_200);
    versions.note(now, &service(), "v1");
    assert_eq!(versions.only(now, &service(), Duration::from_millis(900)), None);
}

proptest! {
    // Guards against a malformed batch of another node that stops this one, or makes a version up.
    #[test]
    fn batches_of_others(
        versions in prop::collection::vec("v[0-9]", 0..4),
        streams in prop::collection::vec((any::<u64>(), prop::option::of(any::<u16>())), 0..30),
        left_ms in any::<u64>(),
    ) {
        let batch = StreamBatch {
            origins: versions.iter().map(|version| origin(version)).collect(),
            streams: streams.into_iter().map(|(key, index)| (StreamKey(key), index)).collect(),
            left_ms,
        };
        let mut origins = StreamOrigins::default();
        for (key, origin) in batch.iter() {
            origins.note(T0, Duration::from_millis(batch.left_ms), key, origin);
        }
        for (key, index) in &batch.streams {
            let Some(Found::Origin(found)) = origins.find(T0, *key) else { continue };
            let index = index.expect("an index");
            prop_assert_eq!(Some(&found), batch.origins.get(usize::from(index)));
        }
    }
}
