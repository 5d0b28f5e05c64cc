//! The cost of requests, streams and retained answers for a node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bulrushhall_standin::engine::EngineOptions;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::Method;
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    Caller, TestbedOptions,
    capacity::{
        NodeChild, Point, Slope, Usage,
        measure::{MeasureResult, NamedSlope, process_testbed::ProcessTestbed},
    },
    testbed::MODEL,
};

/// The numbers of concurrent streams.
const STREAMS: [usize; 5] = [25, 50, 100, 200, 400];
/// The number of streams per engine.
const STREAMS_PER_ENGINE: usize = 32;
/// The maximum tokens of a stream; high enough that none ends while it is measured.
const STREAM_TOKENS: u32 = 4_000;
/// How long to wait until the nodes know each other.
const SETTLE: Duration = Duration::from_millis(1_500);
/// How long streams are measured.
const WINDOW: Duration = Duration::from_secs(4);
/// The numbers of short requests.
const REQUESTS: [usize; 3] = [500, 1_000, 2_000];
/// The number of concurrent short requests.
const CONCURRENCY: usize = 16;
/// The numbers of finished answers that a node retains.
const KEPT: [usize; 3] = [300, 600, 1_200];
/// The tokens of a finished answer, about the average at the target size.
const KEPT_TOKENS: u32 = 400;
/// The time between tokens.
const GAP: Duration = Duration::from_millis(25);

struct Run {
    owner_processor: Point,
    holder_processor: Point,
    owner_memory: Point,
    holder_memory: Point,
}

/// Measures the processor time and memory of the owner of streams, of the holder of their copies,
/// and of an owner without a peer to copy to, against relayed tokens and open streams.
pub async fn streams() -> MeasureResult<Vec<NamedSlope>> {
    let mut alone = Vec::new();
    for streams in STREAMS {
        alone.push(run(1, streams).await?);
    }
    let mut copied = Vec::new();
    for streams in STREAMS {
        copied.push(run(2, streams).await?);
    }
    let line = |runs: &[Run], value: &str, of: fn(&Run) -> Point| {
        let size = if value.starts_with("kB") { "open streams" } else { "tokens/s" };
        Slope::through(value, size, runs.iter().map(of).collect())
    };
    let (processor, memory) = ("µs of processor a second", "kB resident above idle");
    Ok(vec![
        ("alone_processor", line(&alone, processor, |run| run.owner_processor)),
        ("relay_processor", line(&copied, processor, |run| run.owner_processor)),
        ("holder_processor", line(&copied, processor, |run| run.holder_processor)),
        ("stream_memory", line(&copied, memory, |run| run.owner_memory)),
        ("holder_memory", line(&copied, memory, |run| run.holder_memory)),
    ])
}

async fn run(nodes: usize, streams: usize) -> MeasureResult<Run> {
    let engines = streams.div_ceil(STREAMS_PER_ENGINE);
    let cluster = ProcessTestbed::start(nodes, options(engines, 1.0)).await?;
    sleep(SETTLE).await;
    let (owner, holder) = (0, nodes - 1);
    let idle: Vec<Usage> = cluster.nodes.iter().map(NodeChild::usage).collect();
    let tokens = Arc::new(AtomicU64::new(0));
    let mut open = JoinSet::new();
    for number in 0..streams {
        let caller = Caller::new(cluster.nodes[owner].callers(), "workshop");
        open.spawn(count_tokens(caller, number, Arc::clone(&tokens)));
    }
    while tokens.load(Ordering::Relaxed) < streams as u64 * 4 {
        sleep(Duration::from_millis(50)).await;
    }
    let (started, first) = (Instant::now(), tokens.load(Ordering::Relaxed));
    let before: Vec<Usage> = cluster.nodes.iter().map(NodeChild::usage).collect();
    sleep(WINDOW).await;
    let after: Vec<Usage> = cluster.nodes.iter().map(NodeChild::usage).collect();
    let seconds = started.elapsed().as_secs_f64();
    let rate = (tokens.load(Ordering::Relaxed) - first) as f64 / seconds;
    open.shutdown().await;

    let processor = |at: usize| {
        let used = after[at].processor.saturating_sub(before[at].processor);
        Point { size: rate, value: used.as_secs_f64() * 1e6 / seconds }
    };
    let memory =
        |at: usize| Point { size: streams as f64, value: after[at].resident - idle[at].resident };
    Ok(Run {
        owner_processor: processor(owner),
        holder_processor: processor(holder),
        owner_memory: memory(owner),
        holder_memory: memory(holder),
    })
}

/// Measures a node's processor time against the number of short requests.
pub async fn requests() -> MeasureResult<Vec<NamedSlope>> {
    let cluster = ProcessTestbed::start(1, options(2, 20.0)).await?;
    let mut points = Vec::new();
    for requests in REQUESTS {
        let before = cluster.nodes[0].usage();
        send_requests(&cluster, requests, 1).await?;
        let used = cluster.nodes[0].usage().processor - before.processor;
        points.push(Point { size: requests as f64, value: used.as_secs_f64() * 1e6 });
    }
    Ok(vec![("request_processor", Slope::through("µs of processor", "requests", points))])
}

/// Measures a node's memory against the number of finished answers that it retains for late
/// readers.
pub async fn kept_answers() -> MeasureResult<Vec<NamedSlope>> {
    let cluster = ProcessTestbed::start(1, options(8, 50.0)).await?;
    send_requests(&cluster, CONCURRENCY, KEPT_TOKENS).await?;
    let before = cluster.nodes[0].usage();
    let (mut points, mut kept) = (Vec::new(), 0);
    for total in KEPT {
        send_requests(&cluster, total - kept, KEPT_TOKENS).await?;
        kept = total;
        let grown = cluster.nodes[0].usage().resident - before.resident;
        points.push(Point { size: kept as f64, value: grown });
    }
    let value = "kB resident above the start";
    Ok(vec![("kept_memory", Slope::through(value, "finished answers kept", points))])
}

fn options(engines: usize, speed: f64) -> TestbedOptions {
    let engine = EngineOptions {
        step_base: GAP,
        step_per_answer: Duration::ZERO,
        prefill_per_second: 1_000_000,
        batch: 64,
        speed,
        ..EngineOptions::default()
    };
    TestbedOptions { engines, engine, ..TestbedOptions::default() }
}

async fn send_requests(
    cluster: &ProcessTestbed,
    requests: usize,
    max_tokens: u32,
) -> MeasureResult<()> {
    let mut open = JoinSet::new();
    for part in 0..CONCURRENCY {
        let caller = cluster.caller();
        let share = requests / CONCURRENCY + usize::from(part < requests % CONCURRENCY);
        open.spawn(async move {
            for number in 0..share {
                let prompt = format!("which glaze {part} {number}");
                caller.chat(MODEL, "urgent", &prompt, max_tokens).await?;
            }
            Ok::<(), crate::CallerError>(())
        });
    }
    while let Some(ended) = open.join_next().await {
        ended??;
    }
    Ok(())
}

async fn count_tokens(caller: Caller, number: usize, tokens: Arc<AtomicU64>) {
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": format!("a long survey {number}") }],
        "max_tokens": STREAM_TOKENS,
        "stream": true,
    });
    let headers = [("x-request-class", "urgent")];
    let sent = caller.open(Method::POST, "/v1/chat/completions", &headers, &body).await;
    let Ok(answer) = sent else { return };
    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    while let Some(Ok(event)) = events.next().await {
        if !event.id.is_empty() {
            tokens.fetch_add(1, Ordering::Relaxed);
        }
    }
}
