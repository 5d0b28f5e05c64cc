//! What happened in a schedule, as checkers see it.

use bulrushhall_coord::CopyLocation;

/// An `Event` is one thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was accepted; `copied` tells whether the named peer really has it.
    Accepted { copied: CopyLocation, really: bool },
    /// Another node owns the request now and runs it from what was copied.
    Resumed,
    /// A run came to its end with this text.
    Written { text: Vec<String> },
    /// A reader was shown a token.
    Shown { reader: usize, number: usize, text: String },
    /// A reader was told that the text goes on differently, and begins anew.
    Diverged { reader: usize },
    /// A reader was shown the end.
    Whole { reader: usize },
    /// A holder was replaced or a request offered to a second peer.
    Replaced,
    /// At the end of the schedule: whether a living node has the whole answer.
    Quiet { whole: bool },
}
