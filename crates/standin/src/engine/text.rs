//! The text that stand-in engines write.
//!
//! Each token follows from the prompt and all tokens before it, so a checker can tell whether an
//! answer is whole, belongs to its prompt, and was resumed at the right token.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "clay", "glaze", "kiln", "slip", "tile", "cobalt", "ochre", "border", "motif", "bisque",
    "frit", "edge", "corner", "pattern", "press", "mould",
];

/// A `Writer` yields the tokens of one answer, one after the other.
#[derive(Clone, Debug)]
pub struct Writer {
    state: u64,
    written: u32,
    length: u32,
}

impl Writer {
    /// Returns the writer of the answer to `prompt` that has at most `max_tokens` tokens.
    pub fn new(prompt: &str, max_tokens: u32) -> Writer {
        let state = xxh3_64(prompt.as_bytes());
        // Answers end by themselves somewhere in the upper half of what is allowed.
        let half = (max_tokens / 2).max(1);
        let extra = u32::try_from(state % u64::from(half)).unwrap_or(0);
        Writer { state, written: 0, length: (max_tokens - half + extra + 1).min(max_tokens) }
    }

    /// Takes up a token that was written earlier.
    pub fn take_up(&mut self, token: &str) {
        self.state = xxh3_64_with_seed(token.as_bytes(), self.state);
        self.written += 1;
    }

    /// Returns how many tokens have been written.
    pub fn written(&self) -> u32 {
        self.written
    }

    /// Returns how many tokens the whole answer has.
    pub fn length(&self) -> u32 {
        self.length
    }
}

impl Iterator for Writer {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        if self.length <= self.written {
            return None;
        }
        let word = WORDS[usize::try_from(self.state % 16).unwrap_or(0)];
        let token = format!("{word}{} ", self.state >> 4 & 0xff);
        self.take_up(&token);
        Some(token)
    }
}

/// Returns the whole answer to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    Writer::new(prompt, max_tokens).collect()
}

/// Returns the tokens of a prompt, one a word.
pub fn words(prompt: &str) -> impl Iterator<Item = &str> {
    prompt.split_whitespace()
}
