//! What nodes spend while nobody asks anything of them.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    TestbedOptions,
    capacity::{
        Point, Slope,
        measure::{Measured, Named, bed::Bed},
    },
};

/// The numbers of nodes.
const NODES: [usize; 5] = [2, 4, 8, 16, 24];
/// The time in which nodes get to know each other.
const SETTLE: Duration = Duration::from_secs(3);
/// The numbers of engines.
const ENGINES: [usize; 4] = [4, 64, 128, 256];
/// The most watchers that there are in the zones of a bed, two in each.
const WATCHERS: usize = 8;
/// How long idle nodes are measured.
const WINDOW: Duration = Duration::from_secs(5);

/// Measures processor time and memory of an idle node, and calls to the key-value service by all
/// nodes, against the number of nodes.
pub async fn measure() -> Measured<Vec<Named>> {
    let (mut processor, mut memory) = (Vec::new(), Vec::new());
    let (mut reads, mut writes, mut watches) = (Vec::new(), Vec::new(), Vec::new());
    for nodes in NODES {
        let bed = Bed::start(nodes, TestbedOptions::default()).await?;
        sleep(SETTLE).await;
        let started = Instant::now();
        let (calls, used) = (bed.testbed.kv.counts(), total(&bed).0);
        sleep(WINDOW).await;
        let seconds = started.elapsed().as_secs_f64();
        let (after, (used_after, resident)) = (bed.testbed.kv.counts(), total(&bed));
        let count = nodes as f64;
        let rate = |before: u64, after: u64| Point {
            size: count,
            value: (after - before) as f64 / seconds,
        };
        reads.push(rate(calls.reads, after.reads));
        writes.push(rate(calls.writes + calls.leases, after.writes + after.leases));
        let watchers = nodes.min(WATCHERS) as f64;
        watches.push(Point { size: watchers, ..rate(calls.watches, after.watches) });
        let each = (used_after - used) * 1e6 / seconds / count;
        processor.push(Point { size: count, value: each });
        memory.push(Point { size: count, value: resident / count });
    }
    let size = "nodes";
    Ok(vec![
        ("idle_processor", Slope::through("µs of processor a second of one node", size, processor)),
        ("idle_memory", Slope::through("kB resident of one node", size, memory)),
        ("kv_reads", Slope::through("reads a second by all nodes", size, reads)),
        ("kv_writes", Slope::through("writes and lease calls a second by all nodes", size, writes)),
        ("kv_watches", Slope::through("watches started a second", "watchers", watches)),
    ])
}

/// Measures processor time of an idle node against the engines whose loads it follows.
pub async fn engines() -> Measured<Vec<Named>> {
    let mut points = Vec::new();
    for engines in ENGINES {
        let bed = Bed::start(1, TestbedOptions { engines, ..TestbedOptions::default() }).await?;
        sleep(SETTLE).await;
        let (started, used) = (Instant::now(), total(&bed).0);
        sleep(WINDOW).await;
        let spent = (total(&bed).0 - used) * 1e6 / started.elapsed().as_secs_f64();
        points.push(Point { size: engines as f64, value: spent });
    }
    Ok(vec![("follow_processor", Slope::through("µs of processor a second", "engines", points))])
}

fn total(bed: &Bed) -> (f64, f64) {
    let (mut seconds, mut resident) = (0.0, 0.0);
    for node in &bed.nodes {
        let usage = node.usage();
        seconds += usage.processor.as_secs_f64();
        resident += usage.resident;
    }
    (seconds, resident)
}
