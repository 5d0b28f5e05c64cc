//! Callers that take up streams at a process that stood still while servers of a new version joined.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;
#[path = "../../../platform/tests/step_play/mod.rs"]
mod step_play;

use std::{
    env,
    net::SocketAddr,
    process::{Command, Stdio},
    time::Duration,
};

use futures_util::future::join_all;
use harness::Harness;
use rstest::rstest;
use step_play::{Counts, Joins, NodeProcess, Older, Play, SEEDS, Trouble, report};

/// The part of the take-ups that have to go on where other nodes are reachable that know the stream and its servers.
const MIN_WENT_ON: f64 = 0.9;

// Starts the daemon as the third node.
fn start(harness: &Harness) -> Option<NodeProcess> {
    let text = harness.settings_text("node-2");
    let line = text.lines().find_map(|line| line.strip_prefix("callers = "));
    let callers: SocketAddr = line.expect("a setting").parse().expect("an address");
    let name = format!("bulrush-stopped-{}-{}.ini", std::process::id(), callers.port());
    let path = env::temp_dir().join(name);
    std::fs::write(&path, &text).expect("a written file");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_bulrushd"));
    daemon.arg("--settings").arg(path).stdout(Stdio::null()).stderr(Stdio::null());
    Some(NodeProcess { child: daemon.spawn().expect("a started daemon"), callers })
}

// Guards against streams that are joined, or refused, at a process that was stopped while a new version joined.
#[rstest]
#[case::serving(1_100, Joins::During, Older::Serving)]
#[case::leaving(2_000, Joins::Before, Older::Leaving)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn goes_on(#[case] lasts: u64, #[case] joins: Joins, #[case] older: Older) {
    let lasts = Duration::from_millis(lasts);
    let play = Play { trouble: Trouble::Frozen, lasts, joins, older, ..Play::default() };
    let counts = play.run_at(start).await;
    assert_eq!((counts.joined, counts.hung), (0, 0), "{counts:?}");
    assert!(MIN_WENT_ON <= counts.went_on_part(), "{counts:?}");
}

// Prints what became of the take-ups in all cases.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes minutes; prints figures of docs/design/stream-versions.md"]
async fn whole_play() {
    let seeds = env::var(SEEDS).ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut sum = Counts::default();
    for lasts in [300, 700, 1_100, 2_000, 4_500] {
        let mut plays = Vec::new();
        for joins in [Joins::Before, Joins::During, Joins::AtEnd] {
            for older in [Older::Serving, Older::Leaving, Older::Gone] {
                for seed in 0..seeds {
                    let lasts = Duration::from_millis(lasts);
                    let trouble = Trouble::Frozen;
                    plays.push(Play { trouble, lasts, joins, older, seed, ..Play::default() });
                }
            }
        }
        let mut of_time = Counts::default();
        for chunk in plays.chunks(9) {
            for counts in join_all(chunk.iter().map(|play| play.run_at(start))).await {
                of_time.add(counts);
            }
        }
        report(&format!("{lasts} ms: {of_time:?}"));
        sum.add(of_time);
    }
    report(&format!("all: {sum:?}"));
    assert_eq!(sum.joined, 0);
}
