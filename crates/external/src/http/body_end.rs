//! The marks by which the end of a response's body is known.

use hyper::{
    HeaderMap, Method, StatusCode, Version,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    http::response,
};

use crate::http::ResponseFault;

/// The only transfer coding that the HTTP client decodes.
const CHUNKED: &[u8] = b"chunked";

/// A `BodyEnd` is what marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is empty by the method or the status.
    NoBody,
    /// The length in bytes.
    Length(u64),
    /// The last chunk.
    LastChunk,
    /// The end of the connection, which may also mean that the body was cut.
    ConnectionEnd,
}

impl BodyEnd {
    /// Returns what marks the end of the body of a response to a request with `method`.
    ///
    /// hyper frames a body by rules of its own, and does so in the same way for all heads that are accepted here.
    pub fn of(head: &response::Parts, method: &Method) -> Result<BodyEnd, ResponseFault> {
        let status = head.status.as_u16();
        if !(200..600).contains(&status) {
            return Err(ResponseFault::Status);
        }
        let length = length(&head.headers)?;
        let is_chunked = is_chunked(head)?;
        if is_chunked && length.is_some() {
            return Err(ResponseFault::TwoFramings);
        }
        if head.status == StatusCode::NO_CONTENT && (is_chunked || 0 < length.unwrap_or(0)) {
            return Err(ResponseFault::Length);
        }
        let has_body = method != Method::HEAD
            && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        Ok(match length {
            _ if !has_body => BodyEnd::NoBody,
            Some(length) => BodyEnd::Length(length),
            None if is_chunked => BodyEnd::LastChunk,
            None => BodyEnd::ConnectionEnd,
        })
    }

    /// Returns whether the end is marked, so that a body that was cut is known to be.
    pub fn is_marked(self) -> bool {
        self != BodyEnd::ConnectionEnd
    }

    /// Returns whether the body is empty.
    pub fn is_empty(self) -> bool {
        matches!(self, BodyEnd::NoBody | BodyEnd::Length(0))
    }
}

fn length(headers: &HeaderMap) -> Result<Option<u64>, ResponseFault> {
    let Some(value) = single(headers.get_all(CONTENT_LENGTH), ResponseFault::Length)? else {
        return Ok(None);
    };
    let digits = value.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|digits| digits.parse().ok());
    length.map(Some).ok_or(ResponseFault::Length)
}

fn is_chunked(head: &response::Parts) -> Result<bool, ResponseFault> {
    let codings = head.headers.get_all(TRANSFER_ENCODING);
    match single(codings, ResponseFault::TransferCoding)? {
        None => Ok(false),
        Some(coding) => {
            let is_known = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
            let is_allowed = is_known && head.version == Version::HTTP_11;
            if is_allowed { Ok(true) } else { Err(ResponseFault::TransferCoding) }
        }
    }
}

fn single<'a>(
    values: impl IntoIterator<Item = &'a HeaderValue>,
    fault: ResponseFault,
) -> Result<Option<&'a HeaderValue>, ResponseFault> {
    let mut values = values.into_iter();
    let first = values.next();
    if values.next().is_some() { Err(fault) } else { Ok(first) }
}
