//! The origins of streams that a node knows.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::Stamp;
use slotmap::{SlotMap, new_key_type};

use super::{StreamBatch, StreamKey, StreamOrigin};

/// The maximum number of streams whose origins are kept: 2.5 MB. At the size that the design is for, a node begins 32
/// streams a second and holds copies for as many others twice.
const MAX_STREAMS: usize = 40_000;

new_key_type! {
    /// The key of an origin.
    struct OriginKey;
}

/// What a node knows of one stream.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The origin; none if events of several versions are known.
    origin: Option<OriginKey>,
    until: Stamp,
}

/// A `Found` is what is known of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The stream began there.
    Origin(StreamOrigin),
    /// Events of several versions are known under one key, so that no version is safe.
    Ambiguous,
}

/// `StreamOrigins` are the origins of streams that a node began or holds copies of.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: SlotMap<OriginKey, StreamOrigin>,
    by_origin: HashMap<StreamOrigin, OriginKey>,
    streams: HashMap<StreamKey, Known>,
    /// The streams in the order of their last notes.
    order: VecDeque<(Stamp, StreamKey)>,
}

impl Found {
    /// Returns what an origin tells of a stream; without one, events of several versions are known.
    pub fn new(origin: Option<&StreamOrigin>) -> Found {
        origin.map_or(Found::Ambiguous, |origin| Found::Origin(origin.clone()))
    }

    /// Returns the origin, if there is one.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Found::Origin(origin) => Some(origin),
            Found::Ambiguous => None,
        }
    }
}

impl StreamOrigins {
    /// Notes the origin of a stream for a time; none if events of several versions are known.
    pub fn note(
        &mut self,
        now: Stamp,
        lifetime: Duration,
        key: StreamKey,
        origin: Option<&StreamOrigin>,
    ) {
        self.expire(now);
        let origin = origin.map(|origin| self.intern(origin));
        let until = now + lifetime;
        let known = self.known(now, key);
        // A node that learns of two origins must not choose between them.
        let origin = if known.is_some_and(|known| known.origin != origin) { None } else { origin };
        self.streams.insert(key, Known { origin, until });
        self.order.push_back((until, key));
    }

    /// Returns what is known of a stream.
    pub fn find(&self, now: Stamp, key: StreamKey) -> Option<Found> {
        let known = self.known(now, key)?;
        Some(Found::new(self.origin(known)))
    }

    /// Returns those of some streams that are known.
    pub fn batch(&self, now: Stamp, keys: impl IntoIterator<Item = StreamKey>) -> StreamBatch {
        let mut batch = StreamBatch::default();
        for key in keys {
            self.add_to(&mut batch, now, key);
        }
        batch
    }

    /// Adds a stream to a batch, if it is known.
    pub fn add_to(&self, batch: &mut StreamBatch, now: Stamp, key: StreamKey) {
        let Some(known) = self.known(now, key) else { return };
        batch.push(key, self.origin(known), known.until.since(now));
    }

    /// Returns all streams that are kept.
    pub fn keys(&self) -> impl Iterator<Item = StreamKey> {
        self.streams.keys().copied()
    }

    fn known(&self, now: Stamp, key: StreamKey) -> Option<Known> {
        self.streams.get(&key).copied().filter(|known| now < known.until)
    }

    fn origin(&self, known: Known) -> Option<&StreamOrigin> {
        self.origins.get(known.origin?)
    }

    /// Returns the number of streams that are kept.
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    fn expire(&mut self, now: Stamp) {
        while let Some((until, key)) = self.order.front().copied() {
            if now < until && self.streams.len() < MAX_STREAMS {
                break;
            }
            self.order.pop_front();
            // A stream that was noted again since has a later entry.
            if self.streams.get(&key).is_some_and(|known| known.until == until) {
                self.streams.remove(&key);
            }
        }
    }

    fn intern(&mut self, origin: &StreamOrigin) -> OriginKey {
        if let Some(key) = self.by_origin.get(origin) {
            return *key;
        }
        let key = self.origins.insert(origin.clone());
        self.by_origin.insert(origin.clone(), key);
        key
    }
}
