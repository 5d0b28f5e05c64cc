//! Cutting a stream into whole events with their numbers.

use bytes::{Bytes, BytesMut};

/// The largest event, in bytes; a stream without an end of an event must not fill the memory.
const EVENT_MOST: usize = 1 << 20;

/// A `Split` is a run of whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Their bytes.
    pub bytes: Bytes,
    /// The number of the last of them that has one.
    pub last: Option<u64>,
    /// How many they are.
    pub events: u32,
}

/// An `EventSplitter` holds back the part of a stream whose event has not ended.
///
/// A backend server that dies in the middle of an event has sent a part of it. Passed on, that part
/// would be joined with the first event of the server where the stream goes on, and the caller
/// would read one event made of two.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
    skip_to: Option<u64>,
}

impl EventSplitter {
    /// Returns a splitter that leaves out the events up to the number `after`.
    pub fn after(after: Option<u64>) -> EventSplitter {
        EventSplitter { skip_to: after, ..EventSplitter::default() }
    }

    /// Adds bytes of the stream; returns the whole events that are there now, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Split> {
        self.pending.extend_from_slice(bytes);
        let (end, events) = self.end()?;
        let whole = self.pending.split_to(end).freeze();
        self.searched = 0;
        let last = last_number(&whole);
        let Some(skip_to) = self.skip_to else { return Some(Split { bytes: whole, last, events }) };
        let kept = skip(&whole, skip_to);
        if !kept.is_empty() {
            self.skip_to = None;
        }
        (!kept.is_empty()).then_some(Split { bytes: kept, last, events })
    }

    /// Returns whether an event has begun and not ended.
    pub fn is_within(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the event that has begun is larger than any may be.
    pub fn is_overfull(&self) -> bool {
        EVENT_MOST < self.pending.len()
    }

    // Returns the end of the last whole event, after its empty line, and how many there are.
    fn end(&mut self) -> Option<(usize, u32)> {
        let from = self.searched.saturating_sub(3);
        self.searched = self.pending.len();
        let (mut end, mut events) = (None, 0);
        for at in from..self.pending.len() {
            let rest = &self.pending[at..];
            let empty_line = if rest.starts_with(b"\n\n") {
                2
            } else if rest.starts_with(b"\n\r\n") {
                3
            } else {
                continue;
            };
            end = Some(at + empty_line);
            events += 1;
        }
        end.map(|end| (end, events))
    }
}

fn number(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn last_number(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(number)
}

// Leaves out the leading events whose numbers are not above `after`.
fn skip(events: &Bytes, after: u64) -> Bytes {
    let mut start = 0;
    let mut known = None;
    let mut line_start = 0;
    for (at, byte) in events.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &events[line_start..at];
        line_start = at + 1;
        known = number(line).or(known);
        if !matches!(line, b"" | b"\r") {
            continue;
        }
        if known.is_none_or(|known| after < known) {
            break;
        }
        start = at + 1;
        known = None;
    }
    events.slice(start..)
}
