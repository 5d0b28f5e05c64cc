//! Why a port closes a connection.

/// A `CloseReason` is why a port closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another one took the place of a connection that has waited the longest for its client.
    Replaced,
    /// All connections of the port are serving requests.
    NoPlace,
    /// There is no memory for the head of a request.
    NoMemory,
}

impl CloseReason {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Replaced => "replaced",
            CloseReason::NoPlace => "no_place",
            CloseReason::NoMemory => "no_memory",
        }
    }
}
