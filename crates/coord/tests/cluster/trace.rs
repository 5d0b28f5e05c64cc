//! The events of a schedule, as input of the checks.

use bulrushhall_coord::CopyLocation;

/// An `Event` is one observable event of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was accepted; `has_copy` tells whether the peer in `copied` does have the copy.
    Accepted { copied: CopyLocation, has_copy: bool },
    /// Another node now owns the request and continues it from the copy.
    Resumed,
    /// A run ended with this text.
    RunEnded { text: Vec<String> },
    /// A reader was shown a token.
    Shown { reader: usize, number: usize, text: String },
    /// A reader was told that the text diverged from what it has, and starts over.
    Diverged { reader: usize },
    /// A reader was shown the end.
    ReaderDone { reader: usize },
    /// A holder was replaced, or a request was offered to a second peer.
    Replaced,
    /// At the end of the schedule: whether a live node has the complete response.
    Settled { complete: bool },
}
