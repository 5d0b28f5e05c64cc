//! Reading of bodies that arrive slowly or not completely.

use std::time::Duration;

use bulrushhall_external::http::{Body, BodyError, BodyTimeouts, read_with_timeouts, streamed};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use rstest::rstest;
use tokio::time::{Instant, sleep};

const TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: Duration::from_secs(1), total: Duration::from_secs(10) };
const CHUNK: usize = 1_000;

// Returns a stream of chunks, each `interval_ms` milliseconds after the previous one.
fn chunks(count: usize, interval_ms: u64) -> impl Stream<Item = Bytes> + Send + 'static {
    stream::iter(0..count).then(move |_| async move {
        sleep(Duration::from_millis(interval_ms)).await;
        Bytes::from(vec![0; CHUNK])
    })
}

fn stalled(chunk_count: usize) -> Body {
    streamed(chunks(chunk_count, 10).chain(stream::pending()))
}

async fn read_timed(body: Body, limit: usize) -> (Result<usize, BodyError>, Duration) {
    let started = Instant::now();
    let read = read_with_timeouts(body, limit, TIMEOUTS).await;
    (read.map(|read| read.len()), started.elapsed())
}

// Guards against aborting a large response because its link is slow.
#[tokio::test(start_paused = true)]
async fn slow_link() {
    let (read, took) = read_timed(streamed(chunks(10, 900)), 10 * CHUNK).await;
    assert_eq!(read, Ok(10 * CHUNK));
    assert!(Duration::from_secs(9) <= took, "{took:?}");
}

// Guards against waiting forever on a connection that is silent or very slow.
#[rstest]
#[case::silent(stalled(3), Duration::from_millis(1_030))]
#[case::trickling(streamed(chunks(1_000, 900)), TIMEOUTS.total)]
#[tokio::test(start_paused = true)]
async fn times_out(#[case] body: Body, #[case] after: Duration) {
    let (read, took) = read_timed(body, 1_000 * CHUNK).await;
    assert_eq!(read, Err(BodyError::Timeout));
    assert!(after <= took && took <= after + Duration::from_millis(5), "{took:?}");
}

// Guards against a response that exhausts the memory.
#[tokio::test(start_paused = true)]
async fn too_large() {
    let (read, _) = read_timed(streamed(chunks(4, 1)), 3 * CHUNK).await;
    assert_eq!(read, Err(BodyError::TooLarge));
}
