//! What was seen in a model.

/// An `Outcome` is what happened to the streams that callers resumed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The streams that began.
    pub begun: u32,
    /// The resumptions while the stream's version was served.
    pub returned: u32,
    /// Of these, the ones that went on at their version.
    pub gone_on: u32,
    /// The resumptions, also within answers, that reached another version.
    pub joined: u32,
    /// The messages between nodes.
    pub messages: u64,
    /// Their bytes, with heads.
    pub bytes: u64,
    /// The total time that was added to resumptions, in milliseconds.
    pub added_ms: f64,
}

impl Outcome {
    /// Adds another one.
    pub fn plus(self, other: Outcome) -> Outcome {
        Outcome {
            begun: self.begun + other.begun,
            returned: self.returned + other.returned,
            gone_on: self.gone_on + other.gone_on,
            joined: self.joined + other.joined,
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
            added_ms: self.added_ms + other.added_ms,
        }
    }
}
