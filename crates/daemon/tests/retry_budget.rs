//! The retries that a service gets from all processes together, while its servers fail and processes come and go.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;
#[path = "retry_budget/play.rs"]
mod play;

use std::time::Duration;

use harness::{backend::Behavior, config_change::ConfigChange};
use play::{Asked, HEADROOM, Play, Process, Signal, Worst};
use rstest::rstest;
use tokio::time::sleep;

/// How long processes have to be down to be missed by the others.
const DOWN: Duration = Duration::from_millis(600);
/// How long a paused process stands still.
const PAUSE: Duration = Duration::from_millis(2_800);
/// How long one stands still that is not missed for a whole window.
const LONG_PAUSE: Duration = Duration::from_millis(5_000);
/// The part of what is allowed that has to be used where no process ends.
const MIN_USED: f64 = 0.9;

/// What happens to the processes, each of which starts again.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    AllKilled,
    KilledTwice,
    KilledInTurn,
    TwoKilled,
    OthersKilled,
    StoppedInTurn,
    FourPaused,
    FourPausedLong,
    AllPausedLong,
    StoreAway,
}

impl Trouble {
    async fn happen(self, play: &mut Play) {
        let count = play.processes.len();
        match self {
            Trouble::Nothing => {}
            Trouble::AllKilled => play.restart(0..count, Signal::Kill, DOWN).await,
            Trouble::KilledTwice => {
                play.restart(0..count, Signal::Kill, DOWN).await;
                sleep(DOWN).await;
                play.restart(0..count, Signal::Kill, DOWN).await;
            }
            Trouble::KilledInTurn | Trouble::StoppedInTurn => {
                let is_kill = matches!(self, Trouble::KilledInTurn);
                let signal = if is_kill { Signal::Kill } else { Signal::Terminate };
                for process in 0..count {
                    play.restart(process..process + 1, signal, Duration::from_millis(100)).await;
                }
            }
            Trouble::OthersKilled => play.restart(1..count, Signal::Kill, DOWN).await,
            Trouble::TwoKilled => play.restart(0..2, Signal::Kill, DOWN).await,
            Trouble::FourPaused => play.pause(1..count, PAUSE).await,
            Trouble::FourPausedLong => play.pause(1..count, LONG_PAUSE).await,
            Trouble::AllPausedLong => play.pause(0..count, LONG_PAUSE).await,
            Trouble::StoreAway => play.stop_store(),
        }
    }
}

// Lets servers fail and something happen to the processes; returns the worst window.
async fn fail_during(mut play: Play, trouble: Trouble, behavior: &Behavior) -> Worst {
    play.set_behavior(behavior);
    sleep(Duration::from_secs(1)).await;
    trouble.happen(&mut play).await;
    play.finish().await
}

// Guards against processes that together send a failing service more retries than its requests and the headroom allow.
#[rstest]
#[case::calm(Trouble::Nothing, Behavior::Failing)]
#[case::calm_not_run(Trouble::Nothing, Behavior::NotExecuted)]
#[case::all_killed(Trouble::AllKilled, Behavior::Failing)]
#[case::killed_twice(Trouble::KilledTwice, Behavior::NotExecuted)]
#[case::killed_in_turn(Trouble::KilledInTurn, Behavior::Failing)]
#[case::two_killed(Trouble::TwoKilled, Behavior::NotExecuted)]
#[case::stopped_in_turn(Trouble::StoppedInTurn, Behavior::Failing)]
#[case::four_paused(Trouble::FourPaused, Behavior::NotExecuted)]
#[case::four_paused_long(Trouble::FourPausedLong, Behavior::Failing)]
#[case::all_paused_long(Trouble::AllPausedLong, Behavior::Failing)]
#[case::store_away(Trouble::StoreAway, Behavior::Failing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sum_is_kept(#[case] trouble: Trouble, #[case] behavior: Behavior) {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.warm_up().await;
    let worst = fail_during(play, trouble, &behavior).await;
    assert!(worst.retries <= worst.allowed, "{worst:?}");
    if matches!(trouble, Trouble::Nothing) {
        assert!(MIN_USED * worst.allowed <= worst.retries, "{worst:?}");
    }
}

// Guards against servers that fall silent and get retries beyond the allowance through the race for an answer.
#[rstest]
#[case::calm(Trouble::Nothing)]
#[case::all_killed(Trouble::AllKilled)]
#[case::four_paused(Trouble::FourPaused)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_servers(#[case] trouble: Trouble) {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.warm_up().await;
    let worst = fail_during(play, trouble, &Behavior::Silent).await;
    assert!(worst.retries <= worst.allowed, "{worst:?}");
}

// Guards against streams that break off and are resumed more often than the service may get retries.
#[rstest]
#[case::calm(Trouble::Nothing)]
#[case::all_killed(Trouble::AllKilled)]
#[case::killed_in_turn(Trouble::KilledInTurn)]
#[case::two_killed(Trouble::TwoKilled)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_streams(#[case] trouble: Trouble) {
    let mut play = Play::start_for(Asked::Streams, 5, Behavior::Events(2)).await;
    play.warm_up().await;
    let worst = fail_during(play, trouble, &Behavior::BreakAfter(1)).await;
    assert!(0.0 < worst.retries && worst.retries <= worst.allowed, "{worst:?}");
}

// Guards against requests that other processes carry and that get more retries when these end.
#[rstest]
#[case::calm(Trouble::Nothing)]
#[case::all_killed(Trouble::AllKilled)]
#[case::carriers_killed(Trouble::OthersKilled)]
#[case::killed_in_turn(Trouble::KilledInTurn)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn carried_requests(#[case] trouble: Trouble) {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.cut_first().await;
    play.warm_up().await;
    let worst = fail_during(play, trouble, &Behavior::Failing).await;
    assert!(0.0 < worst.retries && worst.retries <= worst.allowed, "{worst:?}");
}

// Guards against a service to which a route is pointed, or one that it has left, and that gets the retries of both.
#[rstest]
#[case::once(1, Trouble::Nothing)]
#[case::there_and_back(4, Trouble::Nothing)]
#[case::two_killed(1, Trouble::TwoKilled)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_service(#[case] changes: usize, #[case] trouble: Trouble) {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.add_other_servers().await;
    play.warm_up().await;
    play.set_behavior(&Behavior::Failing);
    for number in 0..changes {
        sleep(Duration::from_millis(1_500)).await;
        let is_other = number % 2 == 0;
        play.change_config(if is_other {
            ConfigChange::OtherServices
        } else {
            ConfigChange::Nothing
        });
    }
    trouble.happen(&mut play).await;
    let worst = play.finish().await;
    assert!(0.0 < worst.retries && worst.retries <= worst.allowed, "{worst:?}");
}

// Guards against processes of which some have another limit, as while it is changed, and that exceed the larger one.
#[rstest]
#[case::stopped(Trouble::StoppedInTurn)]
#[case::killed(Trouble::KilledInTurn)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_limit(#[case] trouble: Trouble) {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.change_settings("retry_ratio = 0.2", "retry_ratio = 0.1");
    play.change_settings("retry_headroom = 50", "retry_headroom = 20");
    play.warm_up().await;
    let worst = fail_during(play, trouble, &Behavior::Failing).await;
    assert!(0.0 < worst.retries && worst.retries <= worst.allowed, "{worst:?}");
}

// Guards against a process that ends under SIGTERM and leaves its successor without retries for a whole window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_retries() {
    let mut play = Play::start(5, Behavior::Complete).await;
    play.warm_up().await;
    play.restart(0..1, Signal::Terminate, Duration::ZERO).await;
    // It learns of its predecessor with the first messages of the others.
    sleep(Duration::from_secs(1)).await;
    let successor: &Process = &play.processes[0];
    play.servers[0].set_behavior(Behavior::Failing);
    let answered = play.answered_by(successor, 20).await;
    assert_eq!(answered, 20);
}

// Guards against a system that starts for the first time, or whose processes have all ended, and sends no retries for a long time.
#[rstest]
#[case::first(false)]
#[case::after_kills(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_start(#[case] is_later: bool) {
    let mut play = Play::start(5, Behavior::Failing).await;
    if is_later {
        play.restart(0..5, Signal::Kill, DOWN).await;
    }
    play.begin_load();
    play.set_behavior(&Behavior::Failing);
    let worst = play.finish().await;
    assert!(worst.retries <= worst.allowed, "{worst:?}");
    if !is_later {
        assert!(MIN_USED * HEADROOM <= worst.retries, "{worst:?}");
    }
}
