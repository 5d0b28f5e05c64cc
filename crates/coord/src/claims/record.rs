//! The record of one shard: the homes of its keys.

use std::collections::BTreeMap;

use bulrushhall_core::{Incarnation, TeamName};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_128;

/// The size of one claim in a record, in bytes.
const CLAIM_BYTES: usize = 32;

/// A `KeyHash` is the hash of a team and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u128);

/// A `Home` is the incarnation of a node that alone may run a key's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Home {
    pub(super) incarnation: Incarnation,
    /// When the key was claimed, in milliseconds since 1970.
    pub(super) claimed_at: u64,
}

/// A `Record` holds the homes of one shard's keys.
pub(super) type Record = BTreeMap<KeyHash, Home>;

impl KeyHash {
    /// Returns the hash of a team's key.
    pub fn new(team: &TeamName, key: &[u8]) -> KeyHash {
        let mut text = team.as_str().as_bytes().to_vec();
        text.push(b'\n');
        text.extend_from_slice(key);
        KeyHash(xxh3_128(&text))
    }
}

pub(super) fn encode(record: &Record) -> Bytes {
    let mut buf = BytesMut::with_capacity(record.len() * CLAIM_BYTES);
    for (key, home) in record {
        buf.put_u128(key.0);
        buf.put_u64(home.incarnation.0);
        buf.put_u64(home.claimed_at);
    }
    buf.freeze()
}

/// Returns the record that `bytes` hold; none if they were not written by [`encode`].
pub(super) fn decode(mut bytes: Bytes) -> Option<Record> {
    if !bytes.len().is_multiple_of(CLAIM_BYTES) {
        return None;
    }
    let mut record = Record::new();
    while bytes.has_remaining() {
        let key = KeyHash(bytes.get_u128());
        let incarnation = Incarnation(bytes.get_u64());
        record.insert(key, Home { incarnation, claimed_at: bytes.get_u64() });
    }
    Some(record)
}
