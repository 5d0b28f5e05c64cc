//! Nodes that notice that they stood still.

use std::time::Duration;

use bulrushhall_coord::{Pause, Pauses};
use bulrushhall_core::Stamp;

const T0: Stamp = Stamp::from_millis(100_000);
const ROUND: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);

// Guards against a node that takes what has waited for it as news.
#[test]
fn pause_is_noticed() {
    let mut pauses = Pauses::default();
    assert!(!pauses.note_active(T0));
    let woken = T0 + SECOND;
    assert!(pauses.note_active(woken));
    assert!(!pauses.note_active(woken));
    let pause = Pause { began: T0, ended: woken };
    assert_eq!(pauses.recent(woken + ROUND, SECOND), Some(pause));
    assert_eq!(pauses.recent(woken + SECOND, SECOND), None);
}

// Guards against a node that trusts nothing although it runs.
#[test]
fn rounds_are_no_pause() {
    let mut pauses = Pauses::default();
    for round in 0..20 {
        assert!(!pauses.note_active(T0 + ROUND * round));
    }
    assert_eq!(pauses.recent(T0 + ROUND * 20, SECOND), None);
}
