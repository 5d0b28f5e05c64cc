//! What it costs to write and read a message between nodes.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bulrushhall_core::{Incarnation, NodeName, Revision};
use bulrushhall_daemon::peers::{Envelope, Sender};
use serde::{Deserialize, Serialize};

use crate::capacity::{
    Point, Slope,
    measure::{Measured, Named},
};

/// The bytes of text that messages carry.
const SIZES: [usize; 5] = [64, 512, 2_048, 8_192, 32_768];
/// How long each size is measured.
const LENGTH: Duration = Duration::from_millis(200);

#[derive(Serialize, Deserialize)]
struct Carried {
    request: String,
    text: String,
    tokens: Vec<String>,
}

/// Measures microseconds for one message, written and read once, against the bytes it carries.
pub fn measure() -> Measured<Vec<Named>> {
    let from = Sender {
        node: NodeName::new("entry-1")?,
        incarnation: Incarnation(1 << 50),
        revision: Revision(7),
    };
    let mut costs = Vec::new();
    let mut overheads = Vec::new();
    for size in SIZES {
        // Half of the bytes are one text, half are tokens of about eight bytes.
        let tokens = vec!["cobalt7 ".to_owned(); size / 16];
        let body = Carried { request: "r-1-1".to_owned(), text: "x".repeat(size / 2), tokens };
        let envelope = Envelope { from: from.clone(), to: None, body };
        let started = Instant::now();
        let (mut rounds, mut bytes) = (0.0, 0);
        while started.elapsed() < LENGTH {
            let written = rmp_serde::to_vec_named(&envelope)?;
            bytes = written.len();
            black_box(rmp_serde::from_slice::<Envelope<Carried>>(&written)?);
            rounds += 1.0;
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / rounds;
        costs.push(Point { size: size as f64, value: micros });
        overheads.push(Point { size: size as f64, value: bytes as f64 });
    }
    Ok(vec![
        ("message_cost", Slope::through("µs to write and read a message", "bytes carried", costs)),
        ("message_bytes", Slope::through("bytes of a message", "bytes carried", overheads)),
    ])
}
