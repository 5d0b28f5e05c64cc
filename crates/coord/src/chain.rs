//! The configuration chain: revision after revision, each added by one compare-and-swap.
//!
//! One key holds the newest revision with its whole text, so a reader needs a single call. Before
//! a writer replaces it, it copies it to a key of its own, which keeps the history without gaps.

use std::{error, fmt, time::Duration};

use bulrushhall_core::{Ran, Revision};
use bytes::Bytes;
use rand::{Rng, RngExt};

use crate::head::{Head, HeadError};

/// The key of the newest revision.
pub const HEAD_KEY: &str = "config/head";
/// The prefix of the keys of earlier revisions.
pub const HISTORY_PREFIX: &str = "config/r/";

/// The pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// The failed calls after which a change that certainly wrote nothing is given up.
const ATTEMPTS: u32 = 5;

/// Returns the key of an earlier revision.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:012}", revision.0)
}

/// A `ChainCall` is a call to the key-value service that a [`ChainWriter`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainCall {
    /// Gets the newest revision.
    Read,
    /// Writes the copy of an earlier revision where it is absent.
    Archive(Revision, Bytes),
    /// Replaces the newest revision where its key has this version.
    Swap(u64, Bytes),
}

/// A `ChainReply` tells how a [`ChainCall`] ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainReply {
    /// The newest revision's key has this version and value.
    Found(u64, Bytes),
    /// The value was written.
    Written,
    /// The key had another version; it has this version and value now.
    Conflict(u64, Bytes),
    /// The call failed, and may or may not take effect.
    Failed(Ran),
}

/// A `ChainStep` is what a [`ChainWriter`] wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainStep {
    /// Wait, then make the call.
    Call(Duration, ChainCall),
    /// The change is accepted under this revision, for certain.
    Accepted(Revision),
    /// The change is not accepted and never will be.
    Refused(ChainRefusal),
}

/// A `ChainRefusal` tells why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChainRefusal {
    /// Another revision than the expected one is the newest.
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
        /// The longest text, in bytes.
        limit: usize,
    },
    /// What the key-value service holds is no configuration.
    Malformed(HeadError),
    /// The key-value service can't be reached; nothing was written.
    Unreachable,
    /// The outcome was lost and so many later revisions were added that it can't be looked up.
    Forgotten {
        /// The newest revision.
        found: Revision,
    },
}

/// A `ChainWriter` adds one revision and finds out for certain whether it was accepted.
///
/// A write whose reply is lost may take effect at any later time, so reading the key proves
/// nothing. The writer repeats the very same compare-and-swap: it takes effect once at most, since
/// the first to land changes the version that both expect. A conflict then shows that neither can
/// land any more, and the nonces in the value tell whether one of them did.
#[derive(Debug)]
pub struct ChainWriter {
    expected: Option<Revision>,
    nonce: u64,
    text: String,
    state: State,
    failures: u32,
    unknown: bool,
}

#[derive(Clone, Debug)]
enum State {
    Reading,
    Keeping(u64, Head),
    Swapping(u64, Head),
}

impl ChainWriter {
    /// Returns a writer of `text` on top of `expected`, or of whatever is newest.
    pub fn new(expected: Option<Revision>, text: impl Into<String>, nonce: u64) -> ChainWriter {
        let text = text.into();
        let state = State::Reading;
        ChainWriter { expected, nonce, text, state, failures: 0, unknown: false }
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
        self.unknown
    }

    /// Takes the reply to the last call and returns the next step.
    pub fn reply(&mut self, reply: ChainReply, random: &mut dyn Rng) -> ChainStep {
        match (self.state.clone(), reply) {
            (_, ChainReply::Failed(ran)) => self.failed(ran, random),
            (State::Reading, ChainReply::Found(version, value)) => self.read(version, &value),
            (State::Keeping(version, head), _) => self.swap(version, head),
            (State::Swapping(_, next), ChainReply::Written) => ChainStep::Accepted(next.revision),
            (State::Swapping(_, next), ChainReply::Conflict(_, value)) => self.settle(next, &value),
            (State::Swapping(..) | State::Reading, _) => self.failed(Ran::Unknown, random),
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
        self.state = State::Keeping(version, head);
        ChainStep::Call(Duration::ZERO, self.call())
    }

    fn swap(&mut self, version: u64, head: Head) -> ChainStep {
        self.failures = 0;
        self.state = State::Swapping(version, head.next(self.nonce, self.text.clone()));
        ChainStep::Call(Duration::ZERO, self.call())
    }

    fn settle(&self, ours: Head, value: &[u8]) -> ChainStep {
        let found = match Head::decode(value) {
            Ok(found) => found,
            Err(error) => return ChainStep::Refused(ChainRefusal::Malformed(error)),
        };
        match found.nonce_of(ours.revision) {
            Some(nonce) if nonce == self.nonce => ChainStep::Accepted(ours.revision),
            None if ours.revision <= found.revision && self.unknown => {
                ChainStep::Refused(ChainRefusal::Forgotten { found: found.revision })
            }
            _ => {
                let expected = self.expected.unwrap_or_default();
                ChainStep::Refused(conflict(expected, found))
            }
        }
    }

    fn failed(&mut self, ran: Ran, random: &mut dyn Rng) -> ChainStep {
        self.failures += 1;
        let may_have_run = ran != Ran::No && matches!(self.state, State::Swapping(..));
        self.unknown |= may_have_run;
        if !self.unknown && ATTEMPTS <= self.failures {
            return ChainStep::Refused(ChainRefusal::Unreachable);
        }
        ChainStep::Call(pause(self.failures, random), self.call())
    }

    fn call(&self) -> ChainCall {
        match &self.state {
            State::Reading => ChainCall::Read,
            State::Keeping(_, head) => ChainCall::Archive(head.revision, head.encode()),
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
                write!(f, "the text has {bytes} bytes, {limit} are the most")
            }
            ChainRefusal::Malformed(error) => {
                write!(f, "the newest revision can't be read: {error}")
            }
            ChainRefusal::Unreachable => {
                f.write_str("the key-value service can't be reached; nothing was written")
            }
            ChainRefusal::Forgotten { found } => write!(
                f,
                "the reply was lost and revision {found} is too far ahead to tell the outcome; \
                 compare the history"
            ),
        }
    }
}

impl error::Error for ChainRefusal {}

fn conflict(expected: Revision, found: Head) -> ChainRefusal {
    ChainRefusal::Conflict { expected, found: found.revision, text: found.text }
}

// Many tools and nodes may wait for one service: jitter keeps their calls apart once it is back.
fn pause(failures: u32, random: &mut dyn Rng) -> Duration {
    let full = FIRST_PAUSE.saturating_mul(1 << failures.min(8)).min(LONGEST_PAUSE);
    full.mul_f64(random.random_range(0.5..1.0))
}
