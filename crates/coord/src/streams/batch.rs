//! Copies of origins on their way to another node.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamOrigin};

/// A `StreamBatch` is the origins of several streams. Each origin is sent once, since few versions serve at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// The origins.
    pub origins: Vec<StreamOrigin>,
    /// The streams, each with the index of its origin; none if events of several versions are known.
    pub streams: Vec<(StreamKey, Option<u16>)>,
    /// How long they are to be kept, in milliseconds.
    pub left_ms: u64,
}

impl StreamBatch {
    /// Adds a stream that is to be kept for a time.
    pub fn push(&mut self, key: StreamKey, origin: Option<&StreamOrigin>, left: Duration) {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.left_ms = self.left_ms.max(left_ms);
        let index = origin.map(|origin| {
            let known = self.origins.iter().position(|known| known == origin);
            known.unwrap_or_else(|| {
                self.origins.push(origin.clone());
                self.origins.len() - 1
            })
        });
        self.streams.push((key, index.and_then(|index| u16::try_from(index).ok())));
    }

    /// Returns the streams with their origins; one whose index is out of range has none.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, Option<&StreamOrigin>)> {
        let origin = |index: Option<u16>| self.origins.get(usize::from(index?));
        self.streams.iter().map(move |(key, index)| (*key, origin(*index)))
    }
}
