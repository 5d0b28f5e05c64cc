//! The order in which callers are told addresses.

use std::collections::BTreeMap;

use bulrushhall_coord::{
    Candidate, Headroom,
    entries::{MAX_ADDRESSES, order},
};
use bulrushhall_core::{Incarnation, ZoneName};
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64;

const CALLERS: u64 = 10_000;

fn candidates(count: u64, zones: u64) -> Vec<Candidate> {
    let candidate = |at| Candidate {
        incarnation: Incarnation(at + 1),
        zone: ZoneName::new(format!("zone-{}", at % zones)).expect("a name"),
        capacity: 8,
        suspected: false,
    };
    (0..count).map(candidate).collect()
}

fn firsts(candidates: &[Candidate]) -> BTreeMap<u64, Incarnation> {
    let mut firsts = BTreeMap::new();
    for caller in 0..CALLERS {
        let caller = xxh3_64(&caller.to_le_bytes());
        firsts.insert(caller, order(caller, candidates, MAX_ADDRESSES)[0].incarnation);
    }
    firsts
}

fn counts(firsts: &BTreeMap<u64, Incarnation>) -> BTreeMap<Incarnation, u64> {
    let mut counts = BTreeMap::new();
    for first in firsts.values() {
        *counts.entry(*first).or_default() += 1;
    }
    counts
}

// A zone is taken back at once. A caller whose first two addresses lay in it would try both in
// vain before it reaches anyone.
#[rstest]
#[case(5, 4)]
#[case(34, 10)]
#[case(340, 10)]
fn two_zones_first(#[case] nodes: u64, #[case] zones: u64) {
    let candidates = candidates(nodes, zones);
    for caller in 0..CALLERS {
        let ordered = order(xxh3_64(&caller.to_le_bytes()), &candidates, MAX_ADDRESSES);
        assert_eq!(ordered.len(), MAX_ADDRESSES);
        assert_ne!(ordered[0].zone, ordered[1].zone);
    }
}

// A node leaves. Its callers must not all go to one other node, and everyone else's must stay
// where their prefixes are cached.
#[rstest]
#[case(5, 4)]
#[case(34, 10)]
fn leaving_without_pile_up(#[case] nodes: u64, #[case] zones: u64) {
    let all = candidates(nodes, zones);
    let before = firsts(&all);
    let gone = all[1].incarnation;
    let rest: Vec<Candidate> = all.into_iter().filter(|it| it.incarnation != gone).collect();
    let after = firsts(&rest);
    let mut moved: BTreeMap<Incarnation, u64> = BTreeMap::new();
    for (caller, first) in &before {
        if *first == gone {
            *moved.entry(after[caller]).or_default() += 1;
        } else {
            assert_eq!(after[caller], *first);
        }
    }
    let total: u64 = moved.values().sum();
    let most = moved.values().max().copied().unwrap_or_default();
    let fair = total as f64 / (nodes - 1) as f64;
    assert!((most as f64) < fair * 2.0 + 10.0, "{most} of {total} callers go to one node");
}

#[test]
fn weighted_by_capacity() {
    let mut candidates = candidates(5, 4);
    candidates[0].capacity = 2;
    let counts = counts(&firsts(&candidates));
    let small = counts[&candidates[0].incarnation] as f64;
    let full = counts[&candidates[1].incarnation] as f64;
    assert!((0.2..0.3).contains(&(small / full)), "{counts:?}");
}

#[test]
fn suspected_come_last() {
    let mut candidates = candidates(5, 4);
    candidates[3].suspected = true;
    let suspected = candidates[3].incarnation;
    assert!(firsts(&candidates).values().all(|first| *first != suspected));
}

#[test]
fn no_candidates() {
    assert!(order(1, &[], MAX_ADDRESSES).is_empty());
    assert_eq!(order(1, &candidates(1, 1), MAX_ADDRESSES).len(), 1);
}

// Load that swings about a limit would move callers to and fro and tell all nodes each time.
#[test]
fn headroom_levels() {
    let mut headroom = Headroom::default();
    assert_eq!(headroom.weigh(0.1), 8);
    assert_eq!(headroom.weigh(0.36), 5);
    assert_eq!(headroom.weigh(0.33), 5);
    assert_eq!(headroom.weigh(0.2), 8);
    assert_eq!(headroom.weigh(2.0), 1);
    assert_eq!(headroom.weigh(0.1), 8);
}
