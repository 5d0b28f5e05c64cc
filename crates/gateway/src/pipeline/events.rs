//! Splitting of an event stream into complete events with their ids.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event, in bytes: a stream whose event never ends must not exhaust memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// `CompleteEvents` are consecutive complete events of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the last of them that has one.
    pub last_id: Option<u64>,
    /// The number of events.
    pub events: u32,
}

/// An `EventSplitter` holds back the incomplete event at the end of a stream.
///
/// A backend server may fail in the middle of an event. If the incomplete event were forwarded, the
/// first event of the server at which the stream is resumed would be appended to it, and the caller
/// would read one event made of two.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
    skip_to: Option<u64>,
}

impl EventSplitter {
    /// Returns a splitter that skips the events up to the id `after`.
    pub fn after(after: Option<u64>) -> EventSplitter {
        EventSplitter { skip_to: after, ..EventSplitter::default() }
    }

    /// Adds bytes of the stream; returns the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        self.pending.extend_from_slice(bytes);
        let (end, events) = self.end()?;
        let complete = self.pending.split_to(end).freeze();
        self.searched = 0;
        let last_id = last_event_id(&complete);
        let Some(skip_to) = self.skip_to else {
            return Some(CompleteEvents { bytes: complete, last_id, events });
        };
        let kept = skip(&complete, skip_to);
        if !kept.is_empty() {
            self.skip_to = None;
        }
        (!kept.is_empty()).then_some(CompleteEvents { bytes: kept, last_id, events })
    }

    /// Returns whether the stream ends within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn is_event_too_large(&self) -> bool {
        MAX_EVENT_BYTES < self.pending.len()
    }

    // Returns the end of the last complete event, after its empty line, and the number of events.
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

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(event_id)
}

// Skips the leading events whose ids are not above `after`.
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
        known = event_id(line).or(known);
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
