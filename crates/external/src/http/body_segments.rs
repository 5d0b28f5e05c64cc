//! The bytes of a body that arrives.

use std::mem;

/// The size of a segment, in bytes.
const SEGMENT_BYTES: usize = 16 * 1_024;
/// The least capacity of a segment, in bytes.
const MIN_CAPACITY: usize = 512;

/// `BodySegments` are the bytes of a body in segments of one size.
///
/// A buffer that grows leaves holes of all its earlier sizes in the heap, which take as much memory as the buffer.
#[derive(Debug, Default)]
pub(super) struct BodySegments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl BodySegments {
    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    /// Adds bytes of a body that has at most `max` bytes in all.
    pub(super) fn add(&mut self, mut data: &[u8], max: usize) {
        while !data.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(mem::take(&mut self.last));
            }
            let (part, rest) = data.split_at(data.len().min(SEGMENT_BYTES - self.last.len()));
            self.grow(self.last.len() + part.len(), max);
            self.last.extend_from_slice(part);
            data = rest;
        }
    }

    // Gives the last segment a capacity of at least `size`.
    fn grow(&mut self, size: usize, max: usize) {
        if size <= self.last.capacity() {
            return;
        }
        let doubled = (self.last.capacity() * 2).max(MIN_CAPACITY);
        let wanted = if self.full.is_empty() { doubled } else { SEGMENT_BYTES };
        let left = max.saturating_sub(self.full.len() * SEGMENT_BYTES);
        let capacity = wanted.min(SEGMENT_BYTES).min(left).max(size);
        self.last.reserve_exact(capacity - self.last.len());
    }

    /// Returns all bytes in one buffer.
    pub(super) fn concat(mut self) -> Vec<u8> {
        if self.full.is_empty() {
            self.last.shrink_to_fit();
            return self.last;
        }
        let mut bytes = Vec::with_capacity(self.len());
        for segment in self.full {
            bytes.extend_from_slice(&segment);
        }
        bytes.extend_from_slice(&self.last);
        bytes
    }
}
