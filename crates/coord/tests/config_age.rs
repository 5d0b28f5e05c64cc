//! How long ago a configuration was known to be the newest.

use std::time::Duration;

use bulrushhall_coord::Freshness;
use bulrushhall_core::Stamp;

const LIMIT: Duration = Duration::from_secs(4);

#[test]
fn never_known() {
    assert!(!Freshness::default().is_within(Stamp(0), LIMIT));
}

// Responses are reordered. A late one refers to an earlier time and must not raise the age, and the
// reported age must never be lower than the actual one.
#[test]
fn reordered_responses() {
    let mut freshness = Freshness::default();
    freshness.note(Stamp::from_millis(3_000));
    freshness.note(Stamp::from_millis(1_000));
    assert_eq!(freshness.age(Stamp::from_millis(5_000)), Some(Duration::from_secs(2)));
    assert!(freshness.is_within(Stamp::from_millis(6_999), LIMIT));
    assert!(!freshness.is_within(Stamp::from_millis(7_000), LIMIT));
}
