//! What happens to the requests of an engine that is taken back.

use std::time::Duration;

use bulrushhall_policy::{MoveDecision, MoveOptions, plan_moves, reclaim::RunningRequest};
use rstest::rstest;

fn running(key: u32, tokens: u32, cached_at_target: u32, remaining: u64) -> RunningRequest<u32> {
    RunningRequest { key, tokens, cached_at_target, remaining: Duration::from_millis(remaining) }
}

const NOTICE: Duration = Duration::from_secs(5);

#[test]
fn short_ones_finish() {
    let plan = plan_moves(NOTICE, &[running(1, 500, 0, 1_000)], &MoveOptions::default());
    assert_eq!(plan, [(1, MoveDecision::Finish)]);
}

// The notice is too short to move everything. What saves most computing for each byte goes first,
// and the rest is resumed elsewhere rather than lost halfway through a move.
#[test]
fn most_saved_goes_first() {
    let all = [running(1, 20_000, 15_000, 60_000), running(2, 20_000, 0, 60_000)];
    let options = MoveOptions { recomputed: 10.0, ..MoveOptions::default() };
    let plan = plan_moves(NOTICE, &all, &options);
    let fates: Vec<u32> = plan.iter().map(|(key, _)| *key).collect();
    assert_eq!(fates, [2, 1]);
    assert!(matches!(plan[0].1, MoveDecision::Move(span) if span < NOTICE));
    let crowd: Vec<RunningRequest<u32>> =
        (0..100).map(|key| running(key, 2_000, 0, 60_000)).collect();
    let plan = plan_moves(NOTICE, &crowd, &options);
    let moved = plan.iter().filter(|(_, fate)| matches!(fate, MoveDecision::Move(_))).count();
    assert!((20..=26).contains(&moved), "{moved} moved");
    assert_eq!(plan.len(), 100);
}

#[rstest]
#[case::cost_only(0.0, false)]
#[case::balanced(1.0, true)]
fn weight_decides(#[case] recomputed: f64, #[case] moves: bool) {
    let options = MoveOptions { recomputed, ..MoveOptions::default() };
    let plan = plan_moves(NOTICE, &[running(1, 1_000, 0, 60_000)], &options);
    assert_eq!(matches!(plan[0].1, MoveDecision::Move(_)), moves);
}
