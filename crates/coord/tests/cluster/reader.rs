//! Answers as nodes show them, and readers that follow them from node to node.

/// A `Shown` is what one node shows of the answer.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    pub tokens: Vec<String>,
    pub ended: bool,
    pub moved: bool,
}

/// A `Reader` follows the answer at one node after the other.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    pub seen: Vec<String>,
    pub at: Option<usize>,
    pub done: bool,
}

impl Shown {
    pub fn push(&mut self, first: usize, tokens: Vec<String>) {
        if self.ended || self.tokens.len() < first {
            return;
        }
        let known = self.tokens.len() - first;
        self.tokens.extend(tokens.into_iter().skip(known));
    }

    /// Returns whether `seen` is the beginning of this answer, once that can be told.
    pub fn begins_with(&self, seen: &[String]) -> Option<bool> {
        if self.tokens.len() < seen.len() && !self.ended {
            return None;
        }
        Some(self.tokens.starts_with(seen))
    }
}
