//! The tokens of an answer, in one text.

/// `Tokens` are the tokens of an answer. They are kept as one text: most have a few bytes, less than an allocation
/// of their own takes.
#[derive(Debug, Default)]
pub struct Tokens {
    text: String,
    ends: Vec<usize>,
}

impl Tokens {
    /// Adds a token.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len());
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns those from number `first` on, with their numbers.
    pub fn from(&self, first: usize) -> impl Iterator<Item = (usize, &str)> {
        (first..self.len()).map(|number| {
            let start = number.checked_sub(1).map_or(0, |before| self.ends[before]);
            (number, &self.text[start..self.ends[number]])
        })
    }

    /// Returns the memory that they take, in bytes.
    pub fn memory(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<usize>()
    }

    /// Frees the memory that is kept for further tokens.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }
}
