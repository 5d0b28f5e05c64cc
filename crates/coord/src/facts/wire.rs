//! The encoding of batches: a header and the entries, each a MessagePack value.

use std::fmt;

use bulrushhall_core::Incarnation;
use serde::{
    Deserialize, Serialize, Serializer,
    de::{self, Visitor},
};

use crate::decoding::decode_next;

use super::{
    FactKindId, FactRefusal, FactScope, FactValue, MAX_NUMBERS, MAX_SUBJECT_BYTES,
    positions::{PRIORITIES, Positions},
};

/// The maximum size of a received batch, in bytes.
pub(super) const MAX_BATCH_BYTES: usize = 64 * 1024;
/// The greatest integer that is encoded as one; below it all are exact.
const MAX_INTEGER: f64 = 9_007_199_254_740_992.0;

/// A `ScopeTag` is the scope of a batch without its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub(super) enum ScopeTag {
    Own,
    Zone,
    Others,
}

impl From<&FactScope> for ScopeTag {
    fn from(scope: &FactScope) -> ScopeTag {
        match scope {
            FactScope::Own => ScopeTag::Own,
            FactScope::Zone(_) => ScopeTag::Zone,
            FactScope::Others(_) => ScopeTag::Others,
        }
    }
}

impl From<ScopeTag> for u8 {
    fn from(tag: ScopeTag) -> u8 {
        tag as u8
    }
}

impl TryFrom<u8> for ScopeTag {
    type Error = &'static str;

    fn try_from(tag: u8) -> Result<ScopeTag, &'static str> {
        match tag {
            0 => Ok(ScopeTag::Own),
            1 => Ok(ScopeTag::Zone),
            2 => Ok(ScopeTag::Others),
            _ => Err("an unknown scope"),
        }
    }
}

/// An `Acknowledgement` is the position up to which the sender has the changes of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Acknowledgement(pub Incarnation, pub ScopeTag, pub Positions);

/// A `Header` states which changes a batch holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    /// The batch holds the changes after these positions,
    pub(super) after: Positions,
    /// up to these positions.
    pub(super) at: Positions,
    /// The greatest time since the sender heard from a node whose facts it holds, in milliseconds.
    pub(super) age_ms: u32,
    /// The number of entries of each priority.
    pub(super) counts: [u32; PRIORITIES],
    pub(super) acknowledgements: Vec<Acknowledgement>,
}

/// An `Entry` is one changed fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Entry {
    /// The number of the subject at the sender.
    pub(super) id: u32,
    /// The number of nodes that contribute to it; 0 if it was withdrawn.
    pub(super) nodes: u32,
    /// The version of the value; 0 for kinds whose merge rule does not need it.
    pub(super) version: u64,
    /// The time since the value was set, in milliseconds; 0 like the version.
    pub(super) set_age_ms: u32,
    /// The kind and the subject, unless the receivers know which ones the id stands for.
    pub(super) name: Option<(FactKindId, String)>,
    /// The value.
    pub(super) numbers: Vec<Number>,
}

/// A `Number` is a number of a value. Integers are exact; other numbers have single precision on the wire
/// unless they are outside of its range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Number(pub f64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let single = self.0 as f32;
        if self.0.fract() == 0.0 && self.0.abs() < MAX_INTEGER {
            serializer.serialize_i64(self.0 as i64)
        } else if single.is_normal() {
            serializer.serialize_f32(single)
        } else {
            serializer.serialize_f64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number")
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Number, E> {
        Ok(Number(number as f64))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Number, E> {
        Ok(Number(number as f64))
    }

    fn visit_f32<E: de::Error>(self, number: f32) -> Result<Number, E> {
        Ok(Number(number.into()))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Number, E> {
        Ok(Number(number))
    }
}

impl Entry {
    /// Returns the entry of a subject that has no contribution any more.
    pub(super) fn withdrawn(id: u32) -> Entry {
        Entry { id, nodes: 0, version: 0, set_age_ms: 0, name: None, numbers: Vec::new() }
    }

    /// Returns its value, or the reason why it is not acceptable.
    pub(super) fn value(&self) -> Result<FactValue, FactRefusal> {
        if self.name.as_ref().is_some_and(|(_, subject)| MAX_SUBJECT_BYTES < subject.len()) {
            return Err(FactRefusal::SubjectTooLong);
        }
        if MAX_NUMBERS < self.numbers.len() {
            return Err(FactRefusal::TooManyNumbers);
        }
        let numbers: Vec<f64> = self.numbers.iter().map(|number| number.0).collect();
        FactValue::new(&numbers).map_err(|_| FactRefusal::NotFinite)
    }
}

/// Appends the encoded form of a message.
pub(super) fn encode(buf: &mut Vec<u8>, message: &impl Serialize) {
    // Writing into memory does not fail, and all types have an encoding.
    if rmp_serde::encode::write(buf, message).is_err() {
        unreachable!("a plain message");
    }
}

/// Decodes a batch.
pub(super) fn decode(bytes: &[u8]) -> Result<(Header, Vec<Entry>), FactRefusal> {
    if MAX_BATCH_BYTES < bytes.len() {
        return Err(FactRefusal::TooLarge);
    }
    let mut rest = bytes;
    let header: Header = decode_next(&mut rest).map_err(|_| FactRefusal::Malformed)?;
    let mut entries = Vec::new();
    let count: u64 = header.counts.iter().map(|count| u64::from(*count)).sum();
    for _ in 0..count {
        entries.push(decode_next(&mut rest).map_err(|_| FactRefusal::Malformed)?);
    }
    if !rest.is_empty() {
        return Err(FactRefusal::Malformed);
    }
    Ok((header, entries))
}
