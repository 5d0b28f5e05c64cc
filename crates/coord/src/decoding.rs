//! Decoding of messages and records that other nodes or other programs have written.

use rmp_serde::{Deserializer, decode::Error};
use serde::de::DeserializeOwned;

/// The maximum nesting depth of a message. Decoding is recursive, also of unknown fields, and the decoder's own limit of
/// 1,024 can exceed the stack of a worker thread.
pub const MAX_MESSAGE_DEPTH: usize = 64;

/// Decodes a message in MessagePack.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut deserializer = Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_MESSAGE_DEPTH);
    T::deserialize(&mut deserializer)
}

/// Decodes the first of several values, and advances to the next one.
pub fn decode_next<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<T, Error> {
    let mut deserializer = Deserializer::new(rest);
    deserializer.set_max_depth(MAX_MESSAGE_DEPTH);
    T::deserialize(&mut deserializer)
}
