//! The value of the key that holds the newest revision of the configuration.

use std::{error, fmt};

use bulrushhall_core::Revision;
use bytes::Bytes;

/// The upper bound of a value in the key-value service, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The upper bound of the first line, in bytes.
const MAX_FIRST_LINE_BYTES: usize = 4 << 10;
/// The upper bound of the nonces that are kept, which are those of the newest revisions.
const MAX_NONCES: usize = 128;
/// The start of the first line, which makes the line a comment of the INI text.
const FIRST_LINE_PREFIX: &str = "# bulrushhall revision ";

/// A `Head` is one revision with its text and the nonces of the writers of the latest revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The revision; 0 where there is none yet.
    pub revision: Revision,
    /// The text as the operator wrote it.
    pub text: String,
    /// The nonces of the writers, newest revision first.
    nonces: Vec<u64>,
}

/// A `HeadError` is the reason why a value is not a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The value is not UTF-8.
    Encoding,
    /// The first line does not hold a revision and nonces.
    FirstLine,
}

impl Head {
    /// Returns whether a text fits into a value; the error has its length and the limit, in bytes.
    pub fn fits(text: &str) -> Result<(), (usize, usize)> {
        let limit = MAX_VALUE_BYTES - MAX_FIRST_LINE_BYTES;
        if limit < text.len() { Err((text.len(), limit)) } else { Ok(()) }
    }

    /// Returns the next revision with `text`, written by the writer with `nonce`.
    pub fn next(&self, nonce: u64, text: String) -> Head {
        let mut nonces = vec![nonce];
        nonces.extend(self.nonces.iter().take(MAX_NONCES - 1));
        Head { revision: self.revision.next(), text, nonces }
    }

    /// Returns the nonce of the writer of a revision, unless that is newer or too old.
    pub fn nonce_of(&self, revision: Revision) -> Option<u64> {
        let back = self.revision.0.checked_sub(revision.0)?;
        self.nonces.get(usize::try_from(back).ok()?).copied()
    }

    /// Returns the value of the key for this revision.
    pub fn encode(&self) -> Bytes {
        let nonces: Vec<String> = self.nonces.iter().map(|nonce| format!("{nonce:x}")).collect();
        let text =
            format!("{FIRST_LINE_PREFIX}{} by {}\n{}", self.revision, nonces.join(","), self.text);
        Bytes::from(text)
    }

    /// Parses a value; an empty one, from an absent key, is revision 0.
    pub fn decode(value: &[u8]) -> Result<Head, HeadError> {
        if value.is_empty() {
            return Ok(Head::default());
        }
        let value = std::str::from_utf8(value).map_err(|_| HeadError::Encoding)?;
        let (first, text) = value.split_once('\n').ok_or(HeadError::FirstLine)?;
        let first = first.strip_prefix(FIRST_LINE_PREFIX).ok_or(HeadError::FirstLine)?;
        let (revision, nonces) = first.split_once(" by ").ok_or(HeadError::FirstLine)?;
        let revision = revision.parse().map(Revision).map_err(|_| HeadError::FirstLine)?;
        let nonces = nonces.split(',').map(|nonce| u64::from_str_radix(nonce, 16));
        let nonces = nonces.collect::<Result<_, _>>().map_err(|_| HeadError::FirstLine)?;
        Ok(Head { revision, text: text.to_owned(), nonces })
    }
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadError::Encoding => "it is not UTF-8",
            HeadError::FirstLine => "its first line names no revision",
        })
    }
}

impl error::Error for HeadError {}
