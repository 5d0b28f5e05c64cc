//! The cost of idle nodes: processor time, memory and calls to the key-value service.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    TestbedOptions,
    capacity::{
        Point, Slope,
        measure::{MeasureResult, NamedSlope, process_testbed::ProcessTestbed},
    },
};

/// The numbers of nodes.
const NODES: [usize; 5] = [2, 4, 8, 16, 24];
/// How long to wait until the nodes know each other.
const SETTLE: Duration = Duration::from_secs(3);
/// The numbers of engines.
const ENGINES: [usize; 4] = [4, 64, 128, 256];
/// The maximum number of watchers of a testbed: two in each of its four zones.
const WATCHERS: usize = 8;
/// How long idle nodes are measured.
const WINDOW: Duration = Duration::from_secs(5);

/// Measures the processor time and memory of an idle node, and the calls of all nodes to the
/// key-value service, against the number of nodes.
pub async fn measure() -> MeasureResult<Vec<NamedSlope>> {
    let (mut processor, mut memory) = (Vec::new(), Vec::new());
    let (mut reads, mut writes, mut watches) = (Vec::new(), Vec::new(), Vec::new());
    for nodes in NODES {
        let cluster = ProcessTestbed::start(nodes, TestbedOptions::default()).await?;
        sleep(SETTLE).await;
        let started = Instant::now();
        let (calls, used) = (cluster.testbed.kv.counts(), total(&cluster).0);
        sleep(WINDOW).await;
        let seconds = started.elapsed().as_secs_f64();
        let (after, (used_after, resident)) = (cluster.testbed.kv.counts(), total(&cluster));
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

/// Measures the processor time of an idle node against the number of engines that it polls.
pub async fn engines() -> MeasureResult<Vec<NamedSlope>> {
    let mut points = Vec::new();
    for engines in ENGINES {
        let cluster =
            ProcessTestbed::start(1, TestbedOptions { engines, ..TestbedOptions::default() })
                .await?;
        sleep(SETTLE).await;
        let (started, used) = (Instant::now(), total(&cluster).0);
        sleep(WINDOW).await;
        let spent = (total(&cluster).0 - used) * 1e6 / started.elapsed().as_secs_f64();
        points.push(Point { size: engines as f64, value: spent });
    }
    Ok(vec![("follow_processor", Slope::through("µs of processor a second", "engines", points))])
}

fn total(cluster: &ProcessTestbed) -> (f64, f64) {
    let (mut seconds, mut resident) = (0.0, 0.0);
    for node in &cluster.nodes {
        let usage = node.usage();
        seconds += usage.processor.as_secs_f64();
        resident += usage.resident;
    }
    (seconds, resident)
}
