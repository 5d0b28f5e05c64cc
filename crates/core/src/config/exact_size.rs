//! The lossless text form of sizes in bytes.

use bytesize::ByteSize;
use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

/// The units, largest first, each with its number of bytes.
const UNITS: [(&str, u64); 4] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

/// An `ExactSize` writes a size as a whole number of the largest possible unit.
pub struct ExactSize;

impl SerializeAs<ByteSize> for ExactSize {
    fn serialize_as<S: Serializer>(size: &ByteSize, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = size.as_u64();
        let largest = UNITS.iter().find(|(_, unit)| 0 < bytes && bytes.is_multiple_of(*unit));
        let text = match largest {
            Some((name, unit)) => format!("{}{name}", bytes / unit),
            None => format!("{bytes}B"),
        };
        serializer.serialize_str(&text)
    }
}

impl<'de> DeserializeAs<'de, ByteSize> for ExactSize {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<ByteSize, D::Error> {
        let text = String::deserialize(deserializer)?;
        let has_unit = text.ends_with(|last: char| last.is_ascii_alphabetic());
        if !has_unit {
            return Err(D::Error::custom(format!("a size needs a unit, such as {text}MiB")));
        }
        text.parse().map_err(D::Error::custom)
    }
}
