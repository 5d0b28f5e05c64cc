//! The search for framing in a body whose head announces none.

/// The most digits of the size of a chunk.
const MAX_DIGITS: u32 = 15;
/// The start of a head.
const HEAD: &[u8] = b"HTTP/1.";

/// A `ScanResult` is what is known of a body after its first bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanResult {
    /// It may begin with framing.
    Undecided,
    /// It does not begin with framing.
    Plain,
    /// It begins with framing.
    Framing,
}

/// A `FramingScan` finds out whether a body begins with the head of another response, or with a whole chunk and the size of
/// the next one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FramingScan {
    place: Place,
    /// The whole chunks before this place.
    chunks: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum Place {
    #[default]
    Start,
    /// Within the start of a head, of which so many bytes have been read.
    Head {
        bytes: usize,
    },
    Size {
        size: u64,
        digits: u32,
    },
    SizeEnd {
        size: u64,
    },
    Data {
        left: u64,
    },
    DataReturn,
    DataEnd,
    /// After the line of an empty first chunk.
    LastReturn,
    LastEnd,
    Ended(ScanResult),
}

impl FramingScan {
    /// Reads the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) -> ScanResult {
        let mut rest = bytes;
        loop {
            if let Place::Ended(result) = self.place {
                return result;
            }
            if let Place::Data { left } = self.place {
                let skipped = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                rest = &rest[skipped..];
                let left = left.saturating_sub(skipped as u64);
                self.place = if left == 0 { Place::DataReturn } else { Place::Data { left } };
            }
            let Some((&byte, others)) = rest.split_first() else { return ScanResult::Undecided };
            rest = others;
            self.place = self.after(byte);
        }
    }

    fn after(&mut self, byte: u8) -> Place {
        match (self.place, byte) {
            (Place::Start, b'H') => Place::Head { bytes: 1 },
            (Place::Start, _) => {
                self.place = Place::Size { size: 0, digits: 0 };
                self.after(byte)
            }
            (Place::Head { bytes }, _) if byte == HEAD[bytes] => {
                let bytes = bytes + 1;
                let is_head = bytes == HEAD.len();
                if is_head { Place::Ended(ScanResult::Framing) } else { Place::Head { bytes } }
            }
            (Place::Size { size, digits }, _)
                if byte.is_ascii_hexdigit() && digits < MAX_DIGITS =>
            {
                let digit = char::from(byte).to_digit(16).unwrap_or(0);
                Place::Size { size: size << 4 | u64::from(digit), digits: digits + 1 }
            }
            (Place::Size { size, digits }, b'\r') if 0 < digits => Place::SizeEnd { size },
            (Place::SizeEnd { .. }, b'\n') if 0 < self.chunks => Place::Ended(ScanResult::Framing),
            (Place::SizeEnd { size: 0 }, b'\n') => Place::LastReturn,
            (Place::SizeEnd { size }, b'\n') => Place::Data { left: size },
            (Place::DataReturn, b'\r') => Place::DataEnd,
            (Place::DataEnd, b'\n') => {
                self.chunks += 1;
                Place::Size { size: 0, digits: 0 }
            }
            (Place::LastReturn, b'\r') => Place::LastEnd,
            (Place::LastEnd, b'\n') => Place::Ended(ScanResult::Framing),
            _ => Place::Ended(ScanResult::Plain),
        }
    }
}
