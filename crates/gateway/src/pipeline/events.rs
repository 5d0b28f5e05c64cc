//! Splitting of an event stream into complete events with their ids.

use bytes::{Bytes, BytesMut};

use crate::body_budget::{BodyBudget, BodyRoom};

/// The maximum size of an event, in bytes: a stream whose event never ends must not exhaust memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// The maximum size of the comments before an event, in bytes.
const MAX_COMMENT_BYTES: usize = 16 * 1_024;
/// The size up to which an incomplete event needs no room, in bytes: the memory of a connection includes it.
const SMALL_EVENT_BYTES: usize = 16 * 1_024;
/// The factor by which the room of an incomplete event grows.
const ROOM_GROWTH: usize = 4;

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

/// An `EventSplitter` holds back the incomplete event at the end of a stream, and comments until the event after them.
///
/// A backend server may fail in the middle of an event. If the incomplete event were forwarded, the
/// first event of the server at which the stream is resumed would be appended to it, and the caller
/// would read one event made of two. A server that sends comments without end sends no answer.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The start of the line that is not complete yet.
    line_start: usize,
    searched: usize,
    /// The end of the last complete block of lines: an event, or comments.
    block_end: usize,
    /// Whether the block that is not complete yet has a field.
    has_field: bool,
    skip_to: Option<u64>,
    /// The memory for incomplete events of all streams, if it is bounded.
    budget: Option<BodyBudget>,
    /// How often the bytes are held.
    copies: usize,
    room: BodyRoom,
    has_no_room: bool,
}

impl EventSplitter {
    /// Returns a splitter that skips the events up to the id `after`.
    pub fn after(after: Option<u64>) -> EventSplitter {
        EventSplitter { skip_to: after, ..EventSplitter::default() }
    }

    /// Returns the same splitter with a bound of the incomplete events of all streams, whose bytes are held `copies` times.
    pub fn within(self, budget: &BodyBudget, copies: usize) -> EventSplitter {
        EventSplitter { budget: Some(budget.clone()), copies, ..self }
    }

    /// Adds bytes of the stream; returns the events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        if !self.reserve(self.pending.len() + bytes.len()) {
            return None;
        }
        self.pending.extend_from_slice(bytes);
        let (end, events) = self.end()?;
        let complete = self.pending.split_to(end).freeze();
        self.searched -= end;
        self.line_start -= end;
        self.block_end -= end;
        if self.pending.is_empty() {
            self.pending = BytesMut::new();
            self.room = BodyRoom::default();
        }
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
        self.block_end < self.pending.len()
    }

    /// Returns whether nothing is held back.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the comments after the last event, at the end of a stream.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        (self.line_start, self.searched, self.block_end) = (0, 0, 0);
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Returns whether the incomplete event, or the comments before the next one, exceed the maximum size or the memory.
    pub fn is_event_too_large(&self) -> bool {
        if self.has_no_room {
            return true;
        }
        let max = if self.has_field { MAX_EVENT_BYTES } else { MAX_COMMENT_BYTES };
        max < self.pending.len()
    }

    // Takes room and capacity for bytes that are held back; returns whether there is any.
    fn reserve(&mut self, bytes: usize) -> bool {
        let reserved = self.room.bytes() / self.copies.max(1);
        if bytes <= SMALL_EVENT_BYTES.max(reserved) || self.has_no_room {
            return !self.has_no_room;
        }
        let Some(budget) = &self.budget else { return true };
        let wanted = (reserved * ROOM_GROWTH).clamp(bytes, MAX_EVENT_BYTES.max(bytes));
        let Some(room) = budget.try_reserve(wanted * self.copies) else {
            self.has_no_room = true;
            // Nothing of it is forwarded.
            self.pending = BytesMut::new();
            self.room = BodyRoom::default();
            return false;
        };
        self.room = room;
        // A buffer that doubles leaves holes of its earlier sizes.
        self.pending.reserve(wanted - self.pending.len());
        true
    }

    // Returns the end of the last complete event, after its empty line, and the number of events.
    fn end(&mut self) -> Option<(usize, u32)> {
        let (mut end, mut events) = (None, 0);
        for at in self.searched..self.pending.len() {
            if self.pending[at] != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..at];
            self.line_start = at + 1;
            if !matches!(line, b"" | b"\r") {
                self.has_field |= is_field(line);
                continue;
            }
            self.block_end = at + 1;
            if self.has_field {
                self.has_field = false;
                end = Some(at + 1);
                events += 1;
            }
        }
        self.searched = self.pending.len();
        // The start of a field of an event that never ends.
        let line = &self.pending[self.line_start..];
        self.has_field |= is_field(line);
        end.map(|end| (end, events))
    }
}

// Returns whether a line belongs to an event: others are comments, or of no event.
fn is_field(line: &[u8]) -> bool {
    line.starts_with(b"data") || line.starts_with(b"id:")
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
    let mut has_field = false;
    let mut line_start = 0;
    for (at, byte) in events.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &events[line_start..at];
        line_start = at + 1;
        known = event_id(line).or(known);
        has_field |= is_field(line);
        if !matches!(line, b"" | b"\r") {
            continue;
        }
        if has_field && known.is_none_or(|known| after < known) {
            break;
        }
        start = at + 1;
        (known, has_field) = (None, false);
    }
    events.slice(start..)
}
