//! What records of other nodes change.

/// A `Received` is what a record of another node or of the key-value service changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing.
    Nothing,
    /// A block is in force that was not.
    InForce,
    /// A block was lifted.
    Lifted,
    /// A probe was sent.
    Probed,
}
