//! The text that simulated engines generate.
//!
//! Each token is a function of the prompt and all tokens before it, so a test can check that a
//! response is complete, belongs to its prompt and was resumed at the correct token.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "clay", "glaze", "kiln", "slip", "tile", "cobalt", "ochre", "border", "motif", "bisque",
    "frit", "edge", "corner", "pattern", "press", "mould",
];

/// A `TokenGenerator` yields the tokens of one response.
#[derive(Clone, Debug)]
pub struct TokenGenerator {
    state: u64,
    generated: u32,
    length: u32,
}

impl TokenGenerator {
    /// Returns the generator of the response to `prompt` with at most `max_tokens` tokens.
    pub fn new(prompt: &str, max_tokens: u32) -> TokenGenerator {
        let state = xxh3_64(prompt.as_bytes());
        // The length is pseudorandom, in the upper half of the allowed range.
        let half_length = (max_tokens / 2).max(1);
        let extra_length = u32::try_from(state % u64::from(half_length)).unwrap_or(0);
        TokenGenerator {
            state,
            generated: 0,
            length: (max_tokens - half_length + extra_length + 1).min(max_tokens),
        }
    }

    /// Appends a token that was already generated.
    pub fn append(&mut self, token: &str) {
        self.state = xxh3_64_with_seed(token.as_bytes(), self.state);
        self.generated += 1;
    }

    /// Returns the number of tokens that have been generated.
    pub fn generated(&self) -> u32 {
        self.generated
    }

    /// Returns the number of tokens of the whole response.
    pub fn length(&self) -> u32 {
        self.length
    }
}

impl Iterator for TokenGenerator {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        if self.length <= self.generated {
            return None;
        }
        let word = WORDS[usize::try_from(self.state % 16).unwrap_or(0)];
        let token = format!("{word}{} ", self.state >> 4 & 0xff);
        self.append(&token);
        Some(token)
    }
}

/// Returns the whole response to a prompt.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    TokenGenerator::new(prompt, max_tokens).collect()
}

/// Returns the tokens of a prompt; each word is one token.
pub fn words(prompt: &str) -> impl Iterator<Item = &str> {
    prompt.split_whitespace()
}
