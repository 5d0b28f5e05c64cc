//! The response as nodes show it, and readers that follow it from node to node.

/// A `NodeOutput` is the part of the response that one node shows.
#[derive(Clone, Debug, Default)]
pub struct NodeOutput {
    pub tokens: Vec<String>,
    pub ended: bool,
    pub moved: bool,
}

/// A `Reader` reads the response at one node after another.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    pub seen: Vec<String>,
    pub at: Option<usize>,
    pub done: bool,
}

impl NodeOutput {
    pub fn push(&mut self, first: usize, tokens: Vec<String>) {
        if self.ended || self.tokens.len() < first {
            return;
        }
        let known = self.tokens.len() - first;
        self.tokens.extend(tokens.into_iter().skip(known));
    }

    /// Returns whether `seen` is a prefix of this output; none as long as that is undecided.
    pub fn begins_with(&self, seen: &[String]) -> Option<bool> {
        if self.tokens.len() < seen.len() && !self.ended {
            return None;
        }
        Some(self.tokens.starts_with(seen))
    }
}
