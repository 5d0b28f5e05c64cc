//! Prompt parts that were answered before, and under which engines crash from some moment on, before processes of nodes.
//!
//! `BULRUSH_PLAYS_FIRST=1 BULRUSH_PLAYS=20 cargo test -p bulrushhall-daemon --test turned_parts -- --ignored` plays 20 plans
//! that are drawn from the seeds 1 to 20.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;
#[path = "turned_parts/play.rs"]
mod play;
mod route_daemon;

use std::{
    env,
    io::{self, Write},
    time::Duration,
};

use harness::raw_engines::{Ending, Faults, Moment};
use play::{Plan, Seen, play};

/// The requests with the part that may be sent later than three seconds after the fifth crash under it.
const MAX_LATE: usize = 3;
/// The share of the sound requests that may be refused.
const MAX_REFUSED: f64 = 0.05;

/// The share of them that has to be answered once the part has to be known.
const MIN_ANSWERED: f64 = 0.9;

fn check(seen: Seen) {
    assert!(0 < seen.crashes && seen.late <= MAX_LATE, "{seen:?}");
    assert!(MIN_ANSWERED * seen.sound_known as f64 <= seen.answered as f64, "{seen:?}");
    assert!(seen.refused as f64 <= MAX_REFUSED * seen.sound as f64, "{seen:?}");
}

// Guards against a block that ends with answers that had begun before the part turned bad.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn earlier_streams_end() {
    let plan = Plan {
        path: "/consult/1",
        asked_before: Some(Duration::from_millis(250)),
        asked_after: Duration::from_millis(300),
        streams: (24, Duration::from_secs(5), Duration::from_secs(10)),
        ..Plan::default()
    };
    check(play(plan).await);
}

// Guards against a part that was answered often, is asked for seldom since, and has to crash more than five servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rarely_asked_since() {
    let plan = Plan {
        asked_before: Some(Duration::from_millis(20)),
        asked_after: Duration::from_millis(3_300),
        sends: 2,
        time: Duration::from_secs(17),
        ..Plan::default()
    };
    check(play(plan).await);
}

// Guards against crashes that don't count since engines send the heads of answers long before they read the prompts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_come_early() {
    let faults = Faults { moment: Moment::EarlyHead, ..Faults::default() };
    let (asked_after, time) = (Duration::from_millis(2_700), Duration::from_secs(28));
    check(play(Plan { faults, asked_after, time, path: "/consult/1", ..Plan::default() }).await);
}

// Guards against crashes under requests that were answered before, which aren't noted while the engines' connections hang.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hanging_engines() {
    let plan = Plan {
        path: "/consult/1",
        asked_before: Some(Duration::from_millis(60)),
        asked_after: Duration::from_millis(250),
        faults: Faults { ending: Ending::Hangs, ..Faults::default() },
        ..Plan::default()
    };
    check(play(plan).await);
}

// Guards against the same crashes if the callers leave before they are noted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_leave_hanging_engines() {
    let plan = Plan {
        path: "/consult/1",
        asked_before: Some(Duration::from_millis(60)),
        asked_after: Duration::from_millis(250),
        patience: Duration::from_millis(500),
        faults: Faults { ending: Ending::Hangs, ..Faults::default() },
        ..Plan::default()
    };
    check(play(plan).await);
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().map_or(default, |text| text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "many seeds, run by hand"]
async fn random_plans() {
    let first = number("BULRUSH_PLAYS_FIRST", 1);
    let mut broken = Vec::new();
    for seed in first..first + number("BULRUSH_PLAYS", 10) {
        let plan = Plan::random(seed);
        let seen = play(plan).await;
        let text = format!("seed {seed}: {seen:?} {plan:?}\n");
        io::stderr().write_all(text.as_bytes()).expect("a written line");
        if MAX_LATE < seen.late {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "more than {MAX_LATE} late: seeds {broken:?}");
}
