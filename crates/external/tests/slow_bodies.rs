//! Bodies that arrive slowly, and those that do not arrive.

use std::time::Duration;

use bulrushhall_external::http::{Body, BodyError, BodyTimeouts, read_with_timeouts, streamed};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use rstest::rstest;
use tokio::time::{Instant, sleep};

const TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: Duration::from_secs(1), total: Duration::from_secs(10) };
const CHUNK: usize = 1_000;

// Chunks that come one after the other, each after so many milliseconds.
fn chunks(count: usize, each_ms: u64) -> impl Stream<Item = Bytes> + Send + 'static {
    stream::iter(0..count).then(move |_| async move {
        sleep(Duration::from_millis(each_ms)).await;
        Bytes::from(vec![0; CHUNK])
    })
}

fn endless(after: usize) -> Body {
    streamed(chunks(after, 10).chain(stream::pending()))
}

async fn read(body: Body, limit: usize) -> (Result<usize, BodyError>, Duration) {
    let began = Instant::now();
    let read = read_with_timeouts(body, limit, TIMEOUTS).await;
    (read.map(|read| read.len()), began.elapsed())
}

// Guards against a large answer that is cut because its link is slow.
#[tokio::test(start_paused = true)]
async fn keeps_arriving() {
    let (read, took) = read(streamed(chunks(10, 900)), 10 * CHUNK).await;
    assert_eq!(read, Ok(10 * CHUNK));
    assert!(Duration::from_secs(9) <= took, "{took:?}");
}

// Guards against waiting for ever on a connection that has gone silent, or that trickles.
#[rstest]
#[case::silent(endless(3), Duration::from_millis(1_030))]
#[case::trickling(streamed(chunks(1_000, 900)), TIMEOUTS.total)]
#[tokio::test(start_paused = true)]
async fn given_up(#[case] body: Body, #[case] after: Duration) {
    let (read, took) = read(body, 1_000 * CHUNK).await;
    assert_eq!(read, Err(BodyError::Timeout));
    assert!(after <= took && took <= after + Duration::from_millis(5), "{took:?}");
}

// Guards against an answer that fills the memory.
#[tokio::test(start_paused = true)]
async fn too_large() {
    let (read, _) = read(streamed(chunks(4, 1)), 3 * CHUNK).await;
    assert_eq!(read, Err(BodyError::TooLarge));
}
