//! What requests, streams and kept answers cost a node.

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
        measure::{Measured, Named, bed::Bed},
    },
    testbed::MODEL,
};

/// The streams that are open at once.
const STREAMS: [usize; 5] = [25, 50, 100, 200, 400];
/// The streams that one engine is given.
const STREAMS_PER_ENGINE: usize = 32;
/// The tokens that a stream may have; enough that none ends while it is measured.
const LONG: u32 = 4_000;
/// The time in which nodes get to know each other.
const SETTLE: Duration = Duration::from_millis(1_500);
/// How long streams are measured.
const WINDOW: Duration = Duration::from_secs(4);
/// The numbers of short requests.
const REQUESTS: [usize; 3] = [500, 1_000, 2_000];
/// The short requests that are open at once.
const AT_ONCE: usize = 16;
/// The numbers of finished answers that a node keeps.
const KEPT: [usize; 3] = [300, 600, 1_200];
/// The tokens of a finished answer, as the target has it on average.
const KEPT_TOKENS: u32 = 400;
/// The time between tokens.
const GAP: Duration = Duration::from_millis(25);

struct Run {
    owner_processor: Point,
    holder_processor: Point,
    owner_memory: Point,
    holder_memory: Point,
}

/// Measures against tokens relayed and open streams what the owner spends, what the holder of the
/// copies spends, and what an owner without any peer to copy to spends.
pub async fn streams() -> Measured<Vec<Named>> {
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

async fn run(nodes: usize, streams: usize) -> Measured<Run> {
    let engines = streams.div_ceil(STREAMS_PER_ENGINE);
    let bed = Bed::start(nodes, options(engines, 1.0)).await?;
    sleep(SETTLE).await;
    let (owner, holder) = (0, nodes - 1);
    let idle: Vec<Usage> = bed.nodes.iter().map(NodeChild::usage).collect();
    let tokens = Arc::new(AtomicU64::new(0));
    let mut open = JoinSet::new();
    for number in 0..streams {
        let caller = Caller::new(bed.nodes[owner].callers(), "workshop");
        open.spawn(count(caller, number, Arc::clone(&tokens)));
    }
    while tokens.load(Ordering::Relaxed) < streams as u64 * 4 {
        sleep(Duration::from_millis(50)).await;
    }
    let (started, first) = (Instant::now(), tokens.load(Ordering::Relaxed));
    let before: Vec<Usage> = bed.nodes.iter().map(NodeChild::usage).collect();
    sleep(WINDOW).await;
    let after: Vec<Usage> = bed.nodes.iter().map(NodeChild::usage).collect();
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

/// Measures a node's processor time against whole short requests.
pub async fn requests() -> Measured<Vec<Named>> {
    let bed = Bed::start(1, options(2, 20.0)).await?;
    let mut points = Vec::new();
    for requests in REQUESTS {
        let before = bed.nodes[0].usage();
        ask(&bed, requests, 1).await?;
        let used = bed.nodes[0].usage().processor - before.processor;
        points.push(Point { size: requests as f64, value: used.as_secs_f64() * 1e6 });
    }
    Ok(vec![("request_processor", Slope::through("µs of processor", "requests", points))])
}

/// Measures a node's memory against finished answers that it keeps for late readers.
pub async fn kept_answers() -> Measured<Vec<Named>> {
    let bed = Bed::start(1, options(8, 50.0)).await?;
    ask(&bed, AT_ONCE, KEPT_TOKENS).await?;
    let before = bed.nodes[0].usage();
    let (mut points, mut kept) = (Vec::new(), 0);
    for upto in KEPT {
        ask(&bed, upto - kept, KEPT_TOKENS).await?;
        kept = upto;
        let grown = bed.nodes[0].usage().resident - before.resident;
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

async fn ask(bed: &Bed, requests: usize, max_tokens: u32) -> Measured<()> {
    let mut open = JoinSet::new();
    for part in 0..AT_ONCE {
        let caller = bed.caller();
        let share = requests / AT_ONCE + usize::from(part < requests % AT_ONCE);
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

async fn count(caller: Caller, number: usize, tokens: Arc<AtomicU64>) {
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": format!("a long survey {number}") }],
        "max_tokens": LONG,
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
