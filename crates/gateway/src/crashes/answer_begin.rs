//! The first byte of an answer.

/// An `AnswerBegin` tells the begin of an answer from the comments of an event stream, which engines may send before they read
/// the prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerBegin {
    is_comment: bool,
    has_begun: bool,
}

impl AnswerBegin {
    /// Adds bytes of the body; returns whether some of them belong to the answer.
    pub fn note(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if self.has_begun {
                break;
            }
            match byte {
                b'\n' => self.is_comment = false,
                _ if self.is_comment => {}
                b'\r' => {}
                b':' => self.is_comment = true,
                _ => self.has_begun = true,
            }
        }
        self.has_begun
    }
}
