//! What a backend server states about itself in a response.

/// A `Statement` is what one response states, or does not state, about its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Statement<T> {
    /// The response says nothing.
    #[default]
    Absent,
    /// The response says this.
    Value(T),
    /// The response says something that can't be parsed or is out of range.
    Malformed,
}
