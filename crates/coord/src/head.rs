//! The value that holds the newest revision of the configuration.

use std::{error, fmt};

use bulrushhall_core::Revision;
use bytes::Bytes;

/// The longest value of the key-value service, in bytes.
const VALUE_MAX: usize = 1 << 20;
/// The room that the first line may take, in bytes.
const FIRST_LINE_MAX: usize = 4 << 10;
/// The number of earlier revisions whose nonces are kept.
const NONCES: usize = 128;
/// What the first line starts with; it makes the line a comment of the INI text.
const MARK: &str = "# bulrushhall revision ";

/// A `Head` is one revision with its text and the nonces of the writers that led to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The revision; 0 where there is none yet.
    pub revision: Revision,
    /// The text as the operator wrote it.
    pub text: String,
    nonces: Vec<u64>,
}

/// A `HeadError` tells why a value holds no revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The value is not UTF-8.
    Encoding,
    /// The first line does not name revision and nonces.
    FirstLine,
}

impl Head {
    /// Returns whether a text fits; the error has its length and the longest one, in bytes.
    pub fn fits(text: &str) -> Result<(), (usize, usize)> {
        let limit = VALUE_MAX - FIRST_LINE_MAX;
        if limit < text.len() { Err((text.len(), limit)) } else { Ok(()) }
    }

    /// Returns the revision that follows.
    pub fn next(&self, nonce: u64, text: String) -> Head {
        let mut nonces = vec![nonce];
        nonces.extend(self.nonces.iter().take(NONCES - 1));
        Head { revision: self.revision.next(), text, nonces }
    }

    /// Returns the nonce of the writer of a revision, unless it is newer or long ago.
    pub fn nonce_of(&self, revision: Revision) -> Option<u64> {
        let back = self.revision.0.checked_sub(revision.0)?;
        self.nonces.get(usize::try_from(back).ok()?).copied()
    }

    /// Returns the value that holds this revision.
    pub fn encode(&self) -> Bytes {
        let nonces: Vec<String> = self.nonces.iter().map(|nonce| format!("{nonce:x}")).collect();
        let text = format!("{MARK}{} by {}\n{}", self.revision, nonces.join(","), self.text);
        Bytes::from(text)
    }

    /// Reads a value; an empty one, of an absent key, is revision 0.
    pub fn decode(value: &[u8]) -> Result<Head, HeadError> {
        if value.is_empty() {
            return Ok(Head::default());
        }
        let value = std::str::from_utf8(value).map_err(|_| HeadError::Encoding)?;
        let (first, text) = value.split_once('\n').ok_or(HeadError::FirstLine)?;
        let first = first.strip_prefix(MARK).ok_or(HeadError::FirstLine)?;
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
