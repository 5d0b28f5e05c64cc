//! Measures the overhead of a node on a call to an engine: time to the first frame and processor
//! time.

use std::{
    error::Error,
    io::Write,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{
    Probe, Testbed, TestbedOptions, cpu,
    testbed::{MODEL, NODE_THREAD},
};
use bulrushhall_core::{FencingNumber, Incarnation, ModelName, RequestId};
use bulrushhall_external::engine::Generate;
use bulrushhall_standin::engine::EngineOptions;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use http_body_util::BodyDataStream;
use hyper::Method;
use serde_json::{Value, json};

/// The number of requests of the latency measurement, directly and through a node each.
const LATENCY_REQUESTS: u64 = 400;
/// The numbers of concurrent streams of the throughput measurement, one round each.
const STREAMS: [usize; 4] = [16, 64, 256, 512];
/// The maximum tokens of each stream of the throughput measurement.
const STREAM_TOKENS: u32 = 400;
/// The number of requests of the request rate measurement.
const SHORT_REQUESTS: usize = 4_000;
/// The number of concurrent short requests.
const SHORT_CONCURRENCY: usize = 64;

type BoxResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

#[tokio::main]
async fn main() -> BoxResult<()> {
    let engine = EngineOptions {
        prefill_per_second: 2_000_000,
        step_base: Duration::from_millis(2),
        step_per_answer: Duration::ZERO,
        batch: 1_024,
        ..EngineOptions::default()
    };
    let mut options = TestbedOptions { engines: 2, engine, ..TestbedOptions::default() };
    options.settings.limits.answers_per_engine = 1_024;
    let testbed = Arc::new(Testbed::start(options).await?);

    let mut out = std::io::stdout();
    let (direct, relayed) = latency(&testbed).await?;
    writeln!(out, "first frame, one request at a time ({LATENCY_REQUESTS} each way, in turns)")?;
    print_latency(&mut out, "direct", &direct)?;
    print_latency(&mut out, "by node", &relayed)?;

    writeln!(out, "\nstreams of up to {STREAM_TOKENS} tokens, one token each 2 ms")?;
    writeln!(
        out,
        "{:>8} {:>12} {:>14} {:>20}",
        "streams", "tokens/s", "node core", "tokens/core-second"
    )?;
    for streams in STREAMS {
        let round = round(&testbed, streams, streams, STREAM_TOKENS).await?;
        writeln!(
            out,
            "{streams:>8} {:>12.0} {:>13.0}% {:>20.0}",
            round.tokens as f64 / round.wall.as_secs_f64(),
            100.0 * round.core.as_secs_f64() / round.wall.as_secs_f64(),
            round.tokens as f64 / round.core.as_secs_f64(),
        )?;
    }

    let round = round(&testbed, SHORT_REQUESTS, SHORT_CONCURRENCY, 2).await?;
    writeln!(
        out,
        "\nrequests of up to 2 tokens, {SHORT_CONCURRENCY} at once: {:.0} requests/s, {:.0} requests/core-second",
        SHORT_REQUESTS as f64 / round.wall.as_secs_f64(),
        SHORT_REQUESTS as f64 / round.core.as_secs_f64(),
    )?;
    Ok(())
}

struct Round {
    tokens: u64,
    wall: Duration,
    core: Duration,
}

async fn latency(testbed: &Testbed) -> BoxResult<(Histogram<u64>, Histogram<u64>)> {
    let engine = Probe::new(testbed.engines[0].address());
    let node = Probe::new(testbed.nodes[0].callers());
    let mut direct = Histogram::new(3)?;
    let mut relayed = Histogram::new(3)?;
    for number in 0..LATENCY_REQUESTS {
        let generate = serde_json::to_string(&generate(number)?)?;
        let took = first_frame(&engine, "/generate", generate).await?;
        direct.record(u64::try_from(took.as_micros())?)?;
        let body = chat(&format!("node {number}"), 8).to_string();
        let took = first_frame(&node, "/v1/chat/completions", body).await?;
        relayed.record(u64::try_from(took.as_micros())?)?;
    }
    Ok((direct, relayed))
}

async fn first_frame(probe: &Probe, path: &str, body: String) -> BoxResult<Duration> {
    let started = Instant::now();
    let answer = probe.open(Method::POST, path, body).await?;
    let mut chunks = BodyDataStream::new(answer.into_body());
    let mut first = None;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        // The node's first event contains only the role, so the time of the first token is taken.
        let token =
            chunk.windows(9).any(|bytes| bytes == b"\"content\"" || bytes == b"{\"token\":");
        if token && first.is_none() {
            first = Some(started.elapsed());
        }
    }
    Ok(first.unwrap_or_else(|| started.elapsed()))
}

async fn round(
    testbed: &Arc<Testbed>,
    requests: usize,
    concurrency: usize,
    tokens: u32,
) -> BoxResult<Round> {
    let core = cpu::thread_time(NODE_THREAD);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..concurrency {
        let testbed = Arc::clone(testbed);
        tasks.push(tokio::spawn(async move {
            let caller = testbed.caller(0);
            let mut count = 0;
            for turn in 0..requests / concurrency {
                let prompt = format!("{number} {turn} {tokens}");
                let answered = caller.chat(MODEL, "urgent", &prompt, tokens).await?;
                count += answered.gaps.len() as u64 + 1;
            }
            BoxResult::Ok(count)
        }));
    }
    let mut total = 0;
    for task in tasks {
        total += task.await??;
    }
    let wall = started.elapsed();
    Ok(Round { tokens: total, wall, core: cpu::thread_time(NODE_THREAD) - core })
}

fn generate(number: u64) -> BoxResult<Generate> {
    Ok(Generate {
        request: RequestId { origin: Incarnation(1), sequence: number },
        attempt: 0,
        model: ModelName::new(MODEL)?,
        prompt: format!("direct {number}"),
        emitted: Vec::new(),
        max_tokens: 8,
        priority: 0,
        fence: FencingNumber(0),
    })
}

fn chat(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
    })
}

fn print_latency(out: &mut impl Write, name: &str, histogram: &Histogram<u64>) -> BoxResult<()> {
    let (p50, p95) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.95));
    writeln!(out, "{name:>8}: p50 {p50} us, p95 {p95} us")?;
    Ok(())
}
