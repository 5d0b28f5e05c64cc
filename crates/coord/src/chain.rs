//! The configuration chain: a sequence of revisions, each added by one compare-and-swap.
//!
//! One key holds the newest revision with its whole text, so a reader needs a single call. Before a
//! writer replaces it, it copies it to a key for that revision, so that the history has no gaps.

use std::{error, fmt, time::Duration};

use bulrushhall_core::{Ran, Revision};
use bytes::Bytes;
use rand::{Rng, RngExt};

use crate::head::{Head, HeadError};

/// The key of the newest revision.
pub const HEAD_KEY: &str = "config/head";
/// The prefix of the keys of earlier revisions.
pub const HISTORY_PREFIX: &str = "config/r/";

/// The base of the delay after failed calls, which doubles with each of them.
const BASE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay between two calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// The consecutive failed calls after which a change that certainly wrote nothing is abandoned.
const MAX_FAILURES: u32 = 5;

/// Returns the key of an earlier revision.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:012}", revision.0)
}

/// A `ChainCall` is a call to the key-value service that a [`ChainWriter`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainCall {
    /// Reads the newest revision.
    Read,
    /// Writes the copy of an earlier revision if it is absent.
    Archive(Revision, Bytes),
    /// Replaces the newest revision if its key has this version.
    Swap(u64, Bytes),
}

/// A `ChainReply` is the outcome of a [`ChainCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainReply {
    /// The newest revision's key has this version and value.
    Found(u64, Bytes),
    /// The value was written.
    Written,
    /// The key had another version; it has this version and value now.
    Conflict(u64, Bytes),
    /// The call failed; the value states whether it took effect.
    Failed(Ran),
}

/// A `ChainStep` is what the caller of a [`ChainWriter`] has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainStep {
    /// Wait for this time, then make the call.
    Call(Duration, ChainCall),
    /// The change is certainly accepted, as this revision.
    Accepted(Revision),
    /// The change is not accepted and never will be; only with [`ChainRefusal::OutcomeUnknown`] it
    /// may have been accepted.
    Refused(ChainRefusal),
}

/// A `ChainRefusal` is the reason why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainRefusal {
    /// The newest revision is not the expected one.
    Conflict {
        /// The revision that the change was based on.
        expected: Revision,
        /// The newest revision.
        found: Revision,
        /// The text of the newest revision.
        text: String,
    },
    /// The text is longer than a value of the key-value service may be.
    TooLong {
        /// The length of the text, in bytes.
        bytes: usize,
        /// The maximum length, in bytes.
        limit: usize,
    },
    /// The value in the key-value service is not a configuration.
    Malformed(HeadError),
    /// The key-value service is unreachable; nothing was written.
    Unreachable,
    /// The reply was lost, and so many revisions were added since that the outcome can't be found.
    OutcomeUnknown {
        /// The newest revision.
        found: Revision,
    },
}

/// A `ChainWriter` adds one revision and determines for certain whether it was accepted.
///
/// A write whose reply is lost may take effect at any later time, so reading the key proves
/// nothing. The writer repeats the same compare-and-swap: it takes effect at most once, since the
/// first to be applied changes the version that both expect. A conflict then proves that neither
/// can be applied later, and the nonces in the value show whether one of them was.
#[derive(Debug)]
pub struct ChainWriter {
    expected: Option<Revision>,
    nonce: u64,
    text: String,
    state: State,
    /// The number of consecutive failed calls.
    failures: u32,
    /// Whether a write may take effect although its reply is missing.
    may_take_effect: bool,
}

#[derive(Clone, Debug)]
enum State {
    Reading,
    Archiving(u64, Head),
    Swapping(u64, Head),
}

impl ChainWriter {
    /// Returns a writer that adds `text` after the revision `expected`, or after the newest one.
    pub fn new(expected: Option<Revision>, text: impl Into<String>, nonce: u64) -> ChainWriter {
        let text = text.into();
        let state = State::Reading;
        ChainWriter { expected, nonce, text, state, failures: 0, may_take_effect: false }
    }

    /// Returns the first step.
    pub fn start(&self) -> ChainStep {
        match Head::fits(&self.text) {
            Ok(()) => ChainStep::Call(Duration::ZERO, ChainCall::Read),
            Err((bytes, limit)) => ChainStep::Refused(ChainRefusal::TooLong { bytes, limit }),
        }
    }

    /// Returns whether a write may take effect although its reply is missing.
    pub fn is_unsettled(&self) -> bool {
        self.may_take_effect
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn reply(&mut self, reply: ChainReply, random: &mut dyn Rng) -> ChainStep {
        match (self.state.clone(), reply) {
            (_, ChainReply::Failed(ran)) => self.retry(ran, random),
            (State::Reading, ChainReply::Found(version, value)) => self.read(version, &value),
            (State::Archiving(version, head), _) => self.swap(version, head),
            (State::Swapping(_, next), ChainReply::Written) => ChainStep::Accepted(next.revision),
            (State::Swapping(_, next), ChainReply::Conflict(_, value)) => {
                self.resolve(next, &value)
            }
            (State::Swapping(..) | State::Reading, _) => self.retry(Ran::Unknown, random),
        }
    }

    fn read(&mut self, version: u64, value: &[u8]) -> ChainStep {
        self.failures = 0;
        let head = match Head::decode(value) {
            Ok(head) => head,
            Err(error) => return ChainStep::Refused(ChainRefusal::Malformed(error)),
        };
        let expected = *self.expected.get_or_insert(head.revision);
        if head.revision != expected {
            return ChainStep::Refused(conflict(expected, head));
        }
        if head.revision == Revision(0) {
            return self.swap(version, head);
        }
        self.state = State::Archiving(version, head);
        ChainStep::Call(Duration::ZERO, self.call())
    }

    fn swap(&mut self, version: u64, head: Head) -> ChainStep {
        self.failures = 0;
        self.state = State::Swapping(version, head.next(self.nonce, self.text.clone()));
        ChainStep::Call(Duration::ZERO, self.call())
    }

    fn resolve(&self, ours: Head, value: &[u8]) -> ChainStep {
        let found = match Head::decode(value) {
            Ok(found) => found,
            Err(error) => return ChainStep::Refused(ChainRefusal::Malformed(error)),
        };
        match found.nonce_of(ours.revision) {
            Some(nonce) if nonce == self.nonce => ChainStep::Accepted(ours.revision),
            None if ours.revision <= found.revision && self.may_take_effect => {
                ChainStep::Refused(ChainRefusal::OutcomeUnknown { found: found.revision })
            }
            _ => {
                let expected = self.expected.unwrap_or_default();
                ChainStep::Refused(conflict(expected, found))
            }
        }
    }

    fn retry(&mut self, ran: Ran, random: &mut dyn Rng) -> ChainStep {
        self.failures += 1;
        let may_have_written = ran != Ran::No && matches!(self.state, State::Swapping(..));
        self.may_take_effect |= may_have_written;
        if !self.may_take_effect && MAX_FAILURES <= self.failures {
            return ChainStep::Refused(ChainRefusal::Unreachable);
        }
        ChainStep::Call(retry_delay(self.failures, random), self.call())
    }

    fn call(&self) -> ChainCall {
        match &self.state {
            State::Reading => ChainCall::Read,
            State::Archiving(_, head) => ChainCall::Archive(head.revision, head.encode()),
            State::Swapping(version, next) => ChainCall::Swap(*version, next.encode()),
        }
    }
}

impl fmt::Display for ChainRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChainRefusal::Conflict { expected, found, .. } => {
                write!(f, "revision {found} is the newest, but the change is based on {expected}")
            }
            ChainRefusal::TooLong { bytes, limit } => {
                write!(f, "the text has {bytes} bytes; the maximum is {limit}")
            }
            ChainRefusal::Malformed(error) => {
                write!(f, "the newest revision can't be read: {error}")
            }
            ChainRefusal::Unreachable => {
                f.write_str("the key-value service can't be reached; nothing was written")
            }
            ChainRefusal::OutcomeUnknown { found } => write!(
                f,
                "the reply was lost and revision {found} is too far ahead to determine the outcome; \
                 compare the history"
            ),
        }
    }
}

impl error::Error for ChainRefusal {}

fn conflict(expected: Revision, found: Head) -> ChainRefusal {
    ChainRefusal::Conflict { expected, found: found.revision, text: found.text }
}

// Many tools and nodes may wait for the service; jitter spreads their calls once it is available
// again.
fn retry_delay(failures: u32, random: &mut dyn Rng) -> Duration {
    let full = BASE_RETRY_DELAY.saturating_mul(1 << failures.min(8)).min(MAX_RETRY_DELAY);
    full.mul_f64(random.random_range(0.5..1.0))
}
