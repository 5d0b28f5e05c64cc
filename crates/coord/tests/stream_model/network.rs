//! The costs of messages between nodes.

use std::time::Duration;

/// The bytes of the heads of a request and its response on a kept connection, without those of TCP and IP.
const HEAD_BYTES: u64 = 150;
/// The one-way latency between nodes, of any zones.
pub const LATENCY: Duration = Duration::from_millis(1);
/// The time that a node takes for a message.
pub const HANDLING: Duration = Duration::from_micros(300);

/// Returns the bytes of a message with a body.
pub fn bytes(body: usize) -> u64 {
    HEAD_BYTES + body as u64
}
