//! Why no backend server answers a request.

use crate::pipeline::{Failure, silence::NoTakeover};

/// A `NotSent` is the reason why no backend server answers a request.
#[derive(Clone, Copy, Debug)]
pub struct NotSent {
    /// The response that its caller gets.
    pub failure: Failure,
    /// Why it is not sent to another server.
    pub reason: NoTakeover,
}

impl NotSent {
    /// Returns the end of a request that may not be sent again.
    pub fn rejected(reason: NoTakeover) -> NotSent {
        NotSent { failure: Failure::Rejected, reason }
    }
}
