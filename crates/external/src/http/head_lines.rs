//! The line ends of the heads of responses.

use std::io;

/// The place of the first digit of the status in a head.
const STATUS: usize = "HTTP/1.1 ".len();

/// A `HeadLines` checks that all lines of a response's head, and of the interim heads before it, end in CR LF.
///
/// hyper also accepts LF alone. One spoilt byte then makes an empty line, which ends the head early.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadLines {
    /// The bytes of the head that have arrived.
    bytes: usize,
    /// Those of the line, without its end.
    line: usize,
    previous: u8,
    is_interim: bool,
    is_complete: bool,
}

impl HeadLines {
    /// Reads the next bytes, which may include some of the body.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        for &byte in bytes {
            if self.is_complete {
                return Ok(());
            }
            self.push_byte(byte)?;
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) -> io::Result<()> {
        let is_valid = match byte {
            b'\n' => self.previous == b'\r',
            // Empty lines may come before the first line; they would be taken for the end of the head.
            _ => 0 < self.bytes || byte == b'H',
        };
        if !is_valid {
            let message = "a line of the response head is malformed";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        if self.bytes == STATUS {
            self.is_interim = byte == b'1';
        }
        self.bytes += 1;
        self.previous = byte;
        match byte {
            b'\r' => {}
            b'\n' if 0 < self.line => self.line = 0,
            b'\n' if self.is_interim => *self = HeadLines::default(),
            b'\n' => self.is_complete = true,
            _ => self.line += 1,
        }
        Ok(())
    }
}
