//! Why a response can't be used.

use std::{error, fmt, net::SocketAddr};

use bulrushhall_core::Event;
use metrics::counter;

use crate::http::framing::FramingFault;

/// Responses that can't be used, by their fault.
pub const MALFORMED_RESPONSES: &str = "bulrush_route_malformed_responses_total";

/// A `ResponseFault` states why a response can't be used, although its connection has not failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The bytes are no head of a response, or too long a one.
    Head,
    /// The status is below 200 or above 599.
    Status,
    /// The transfer coding is not `chunked` alone, or is not allowed in this version or status.
    TransferCoding,
    /// There are several lengths, or one where there is no body.
    Length,
    /// There are a transfer coding and a length.
    TwoFramings,
    /// More bytes arrived after the end of the body.
    BytesAfterEnd,
    /// The body of a response without a mark of its end begins with chunks or with a head.
    FramingInBody,
}

impl ResponseFault {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFault::Head => "head",
            ResponseFault::Status => "status",
            ResponseFault::TransferCoding => "transfer_coding",
            ResponseFault::Length => "length",
            ResponseFault::TwoFramings => "two_framings",
            ResponseFault::BytesAfterEnd => "bytes_after_end",
            ResponseFault::FramingInBody => "framing_in_body",
        }
    }

    /// Counts and logs a response of a server that has this fault.
    pub(super) fn note(self, server: SocketAddr) {
        let reason = self.as_str();
        counter!(MALFORMED_RESPONSES, "reason" => reason).increment(1);
        tracing::info!(event = Event::ResponseMalformed.number(), %server, reason);
    }
}

impl From<FramingFault> for ResponseFault {
    fn from(fault: FramingFault) -> ResponseFault {
        match fault {
            FramingFault::TransferCoding => ResponseFault::TransferCoding,
            FramingFault::Length => ResponseFault::Length,
            FramingFault::Both => ResponseFault::TwoFramings,
        }
    }
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseFault::Head => "the response has no valid head",
            ResponseFault::Status => "the response has no final status",
            ResponseFault::TransferCoding => "the transfer coding of the response is not allowed",
            ResponseFault::Length => "the length of the response is not allowed",
            ResponseFault::TwoFramings => "the response has a length and a transfer coding",
            ResponseFault::BytesAfterEnd => "more bytes follow the end of the response",
            ResponseFault::FramingInBody => {
                "the body of the response begins with unannounced framing"
            }
        })
    }
}

impl error::Error for ResponseFault {}
