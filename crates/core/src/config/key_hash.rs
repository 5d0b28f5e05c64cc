//! Hashes of callers' keys.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::errors::{CoreError, Result};

/// The form of a hash, for error messages.
const EXPECTED: &str = "64 hexadecimal digits (printf %s KEY | sha256sum)";
/// The length of a SHA-256 hash, in bytes.
const LENGTH: usize = 32;

/// A `KeyHash` is the SHA-256 hash of a key; the key itself is not stored.
#[derive(Clone, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; LENGTH]);

impl KeyHash {
    /// Returns the hash of a key.
    pub fn of(key: impl AsRef<[u8]>) -> KeyHash {
        KeyHash(Sha256::digest(key.as_ref()).into())
    }

    /// Returns whether both are hashes of the same key.
    ///
    /// The comparison takes constant time. One that stops at the first differing byte takes longer
    /// the more bytes match, so that a caller could learn the hash from response times.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}..)", self.0[0])
    }
}

impl FromStr for KeyHash {
    type Err = CoreError;

    fn from_str(text: &str) -> Result<KeyHash> {
        let malformed = || CoreError::value(EXPECTED, text);
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        let mut hash = [0; LENGTH];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = text.get(2 * index..2 * index + 2).ok_or_else(malformed)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(KeyHash(hash))
    }
}
