//! Values of facts.

use super::FactError;

/// The maximum number of numbers of a value.
pub const MAX_NUMBERS: usize = 8;
/// The maximum length of a subject, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 120;

/// A `FactValue` is up to [`MAX_NUMBERS`] finite numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FactValue {
    numbers: [f64; MAX_NUMBERS],
    len: usize,
}

impl FactValue {
    /// Returns a value, or an error if there are too many numbers or one is not finite.
    pub fn new(numbers: &[f64]) -> Result<FactValue, FactError> {
        if MAX_NUMBERS < numbers.len() {
            return Err(FactError::TooManyNumbers);
        }
        if numbers.iter().any(|number| !number.is_finite()) {
            return Err(FactError::NotFinite);
        }
        let mut value = FactValue { len: numbers.len(), ..FactValue::default() };
        value.numbers[..numbers.len()].copy_from_slice(numbers);
        Ok(value)
    }

    /// Returns the numbers.
    pub fn numbers(&self) -> &[f64] {
        &self.numbers[..self.len]
    }

    /// Returns a number; 0 if the value has fewer numbers.
    pub fn number(&self, index: usize) -> f64 {
        self.numbers().get(index).copied().unwrap_or(0.0)
    }

    /// Returns the value merged with another one, number by number; a missing number counts as 0.
    pub(super) fn combine(self, other: FactValue, merge: impl Fn(f64, f64) -> f64) -> FactValue {
        let mut value = FactValue { len: self.len.max(other.len), ..FactValue::default() };
        for index in 0..value.len {
            let merged = merge(self.numbers[index], other.numbers[index]);
            value.numbers[index] = merged.clamp(f64::MIN, f64::MAX);
        }
        value
    }
}
