//! The fields of a message that delimit its body.

use hyper::{
    HeaderMap, Version,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};

/// The only transfer coding that hyper decodes.
const CHUNKED: &[u8] = b"chunked";

/// A `Framing` is what the fields of a message say of the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Nothing.
    None,
    /// Its length in bytes.
    Length(u64),
    /// That it consists of chunks.
    Chunked,
}

/// A `FramingFault` states why the fields are not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingFault {
    /// The transfer coding is not `chunked` alone, or the version of HTTP has none.
    TransferCoding,
    /// The length is not one whole number.
    Length,
    /// There are a transfer coding and a length.
    Both,
}

impl Framing {
    /// Returns the framing of a message.
    ///
    /// hyper frames a body by rules of its own, and does so in the same way for all messages that are accepted here.
    pub fn of(version: Version, headers: &HeaderMap) -> Result<Framing, FramingFault> {
        let length = single(headers.get_all(CONTENT_LENGTH), FramingFault::Length)?;
        let coding = single(headers.get_all(TRANSFER_ENCODING), FramingFault::TransferCoding)?;
        match (length, coding) {
            (None, None) => Ok(Framing::None),
            (Some(length), None) => {
                parse_length(length).map(Framing::Length).ok_or(FramingFault::Length)
            }
            (_, Some(coding)) if !is_chunked(version, coding) => Err(FramingFault::TransferCoding),
            (None, Some(_)) => Ok(Framing::Chunked),
            (Some(_), Some(_)) => Err(FramingFault::Both),
        }
    }
}

fn is_chunked(version: Version, coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(CHUNKED) && version == Version::HTTP_11
}

fn parse_length(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

fn single<'a>(
    values: impl IntoIterator<Item = &'a HeaderValue>,
    fault: FramingFault,
) -> Result<Option<&'a HeaderValue>, FramingFault> {
    let mut values = values.into_iter();
    let first = values.next();
    if values.next().is_some() { Err(fault) } else { Ok(first) }
}
