//! A soak of processes that serve routes, with signals, restarts, changes and statements of backend servers in
//! series and at once.
//!
//! `BULRUSH_SOAK_SEEDS=50 BULRUSH_SOAK_NODES=20` runs 50 seeds with 20 processes each; without them two seeds run.
//! `BULRUSH_SOAK_FIRST` is the first seed, and `BULRUSH_SOAK_DAEMON` the path of another build of the daemon.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;
#[path = "../../../platform/tests/soak/mod.rs"]
mod soak;

use std::{
    env,
    io::{self, Write},
    time::Duration,
};

use soak::{deployment::SoakDeployment, schedule::schedule};
use tokio::time::{Instant, sleep_until};

/// How long actions and load go on.
const LENGTH: Duration = Duration::from_secs(9);
const CALLERS_PER_NODE: usize = 2;
const FIRST_SEED: u64 = 1;
const DEFAULT_SEEDS: u64 = 2;

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn report(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

async fn run(seed: u64, nodes: usize) -> Vec<String> {
    let directory = env::temp_dir().join(format!("bulrush-soak-{}-{seed}", std::process::id()));
    let mut deployment = SoakDeployment::start(nodes, &directory).await;
    deployment.start_callers(CALLERS_PER_NODE);
    let actions = schedule(seed, nodes, deployment.server_count(), LENGTH);
    let began = Instant::now();
    for (at, action) in &actions {
        sleep_until(began + *at).await;
        deployment.act(*action);
    }
    sleep_until(began + LENGTH).await;
    let (record, mut problems) = deployment.finish().await;
    problems.extend(record.violations());
    let (calls, streams, (returns, gone_on)) =
        (record.calls.len(), record.streams.len(), record.resumptions());
    let (crashes, begun, drafts) = record.crashes();
    let found = problems.len();
    report(&format!(
        "seed {seed}: {calls} requests, {streams} streams, {gone_on} of {returns} resumed, \
         {crashes} crashes, {begun} of {drafts} drafts begun, {found} problems"
    ));
    if problems.is_empty() {
        // The logs are of use only where something was found.
        let _ = std::fs::remove_dir_all(&directory);
    } else {
        report(&format!("{actions:?}\nlogs in {}\n{}", directory.display(), problems.join("\n")));
    }
    problems
}

// Guards against promises that hold in each test of its own and break when faults come together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold() {
    let nodes = number("BULRUSH_SOAK_NODES", 5) as usize;
    let first = number("BULRUSH_SOAK_FIRST", FIRST_SEED);
    let mut broken = Vec::new();
    for seed in first..first + number("BULRUSH_SOAK_SEEDS", DEFAULT_SEEDS) {
        if !run(seed, nodes).await.is_empty() {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "broken seeds: {broken:?}");
}
