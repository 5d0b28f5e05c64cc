//! Reading of log lines that may be cut short or belong to other programs.

use std::io::{self, BufRead};

use bulrushhall_core::Event;
use serde::{Deserialize, Serialize};

use crate::account::EndedCall;

/// The length above which a line is skipped, in bytes: a line of the access log has about 700.
const MAX_LINE_BYTES: usize = 64 << 10;

/// `SkippedLines` counts the lines that were not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SkippedLines {
    /// Lines about other events.
    pub other_events: u64,
    /// Lines that are not JSON, or were cut short.
    pub malformed: u64,
    /// Lines that are too long.
    pub too_long: u64,
}

impl SkippedLines {
    /// Returns the sum of two counts.
    pub fn plus(self, other: SkippedLines) -> SkippedLines {
        SkippedLines {
            other_events: self.other_events + other.other_events,
            malformed: self.malformed + other.malformed,
            too_long: self.too_long + other.too_long,
        }
    }
}

/// A `LogReader` returns the ended requests of one log.
pub struct LogReader<R> {
    source: R,
    buf: Vec<u8>,
    /// The lines that were not used so far.
    pub skipped: SkippedLines,
}

/// The part of a line that decides whether it is read further.
#[derive(Deserialize)]
struct Head {
    event: Option<u16>,
}

impl<R: BufRead> LogReader<R> {
    /// Returns a reader of `source`.
    pub fn new(source: R) -> LogReader<R> {
        LogReader { source, buf: Vec::new(), skipped: SkippedLines::default() }
    }

    /// Returns the next ended request, or none at the end of the log.
    ///
    /// A supervisor may write a prefix, such as the name of the VM, before the JSON object.
    pub fn next_call(&mut self) -> io::Result<Option<EndedCall>> {
        loop {
            self.buf.clear();
            if self.source.read_until(b'\n', &mut self.buf)? == 0 {
                return Ok(None);
            }
            if self.buf.trim_ascii().is_empty() {
                continue;
            }
            if MAX_LINE_BYTES < self.buf.len() {
                self.skipped.too_long += 1;
                continue;
            }
            let Some(begin) = self.buf.iter().position(|byte| *byte == b'{') else {
                self.skipped.malformed += 1;
                continue;
            };
            let object = &self.buf[begin..];
            match serde_json::from_slice::<Head>(object) {
                Ok(Head { event: Some(event) }) if event == Event::CallEnded.number() => {}
                Ok(_) => {
                    self.skipped.other_events += 1;
                    continue;
                }
                Err(_) => {
                    self.skipped.malformed += 1;
                    continue;
                }
            }
            match serde_json::from_slice::<EndedCall>(object) {
                Ok(call) => return Ok(Some(call)),
                Err(_) => self.skipped.malformed += 1,
            }
        }
    }
}
