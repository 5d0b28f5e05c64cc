//! What a request is sent for.

use bulrushhall_coord::streams::StreamOrigin;

/// A `SendAim` is what a request is sent for.
#[derive(Clone, Debug)]
pub enum SendAim {
    /// Its answer, whatever its status is.
    Answer,
    /// The rest of its stream, of which the caller has events.
    Rest {
        /// The last event that the caller has.
        after: Option<u64>,
        /// Where the stream began.
        origin: Option<StreamOrigin>,
        /// The hash of the server that broke off the stream or is silent.
        broken_by: u64,
        /// The number of servers that have broken it off or are silent.
        breaks: u32,
    },
}
