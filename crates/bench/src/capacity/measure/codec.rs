//! The size of messages between nodes and the cost of encoding and decoding them.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bulrushhall_coord::{Message, Version};
use bulrushhall_core::{Incarnation, NodeName, RequestId, Revision};
use bulrushhall_daemon::{
    handoff::Batch,
    peers::{Envelope, Sender},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::capacity::{
    Point, Slope,
    measure::{MeasureResult, NamedSlope},
};

/// The payload sizes of messages, in bytes.
const SIZES: [usize; 5] = [64, 512, 2_048, 8_192, 32_768];
/// The numbers of streams whose new tokens are sent in one message.
const SHARED: [usize; 4] = [1, 4, 16, 64];
/// How long each size is measured.
const LENGTH: Duration = Duration::from_millis(200);

#[derive(Serialize, Deserialize)]
struct Payload {
    request: String,
    text: String,
    tokens: Vec<String>,
}

/// Measures the microseconds to encode and decode a message against the size of its payload.
pub fn measure() -> MeasureResult<Vec<NamedSlope>> {
    let from = sender()?;
    let mut costs = Vec::new();
    let mut message_sizes = Vec::new();
    for size in SIZES {
        // Half of the payload is one text, the other half are tokens of eight bytes.
        let tokens = vec!["cobalt7 ".to_owned(); size / 16];
        let body = Payload { request: "r-1-1".to_owned(), text: "x".repeat(size / 2), tokens };
        let envelope = Envelope { from: from.clone(), to: None, body };
        let started = Instant::now();
        let (mut rounds, mut bytes) = (0.0, 0);
        while started.elapsed() < LENGTH {
            let written = rmp_serde::to_vec_named(&envelope)?;
            bytes = written.len();
            black_box(rmp_serde::from_slice::<Envelope<Payload>>(&written)?);
            rounds += 1.0;
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / rounds;
        costs.push(Point { size: size as f64, value: micros });
        message_sizes.push(Point { size: size as f64, value: bytes as f64 });
    }
    let copies = SIZES.map(|size| batch(&from, vec![copy(size)]).map(|bytes| point(size, bytes)));
    let tokens =
        SHARED.map(|count| batch(&from, vec![progress(); count]).map(|bytes| point(count, bytes)));
    let copies = copies.into_iter().collect::<MeasureResult<Vec<Point>>>()?;
    let tokens = tokens.into_iter().collect::<MeasureResult<Vec<Point>>>()?;
    Ok(vec![
        ("copy_bytes", Slope::through("bytes of a first copy", "bytes of the request", copies)),
        ("token_bytes", Slope::through("bytes of a message", "streams with a new token", tokens)),
        ("message_cost", Slope::through("µs to write and read a message", "bytes carried", costs)),
        ("message_bytes", Slope::through("bytes of a message", "bytes carried", message_sizes)),
    ])
}

fn sender() -> MeasureResult<Sender> {
    let node = NodeName::new("entry-1")?;
    Ok(Sender { node, incarnation: Incarnation(1 << 62), revision: Revision(1_000) })
}

fn batch(from: &Sender, messages: Vec<Message>) -> MeasureResult<usize> {
    let to = Some(from.incarnation);
    let envelope = Envelope { from: from.clone(), to, body: Batch { messages } };
    Ok(rmp_serde::to_vec_named(&envelope)?.len())
}

fn point(size: usize, bytes: usize) -> Point {
    Point { size: size as f64, value: bytes as f64 }
}

fn version() -> Version {
    Version { epoch: 0, generation: 1, owner: Incarnation(1 << 62) }
}

fn id() -> RequestId {
    RequestId { origin: Incarnation(1 << 62), sequence: 1 << 20 }
}

fn copy(size: usize) -> Message {
    let body = Bytes::from(vec![b'x'; size]);
    Message::Copy {
        id: id(),
        version: version(),
        body,
        tokens: Vec::new(),
        origin: None,
        end: None,
    }
}

fn progress() -> Message {
    let tokens = vec!["cobalt7 ".to_owned()];
    Message::Progress { id: id(), version: version(), from: 150, tokens, origin: None, end: None }
}
