//! HTTP server and client; the client reports whether a failed request may have been sent.

mod abortive_stream;
mod accepted_stream;
mod body;
mod body_budget;
mod body_end;
mod body_reading;
mod body_room;
mod body_segments;
mod checked_body;
mod client_connection;
mod client_stream;
mod close_reason;
mod connection_state;
mod connection_watch;
mod connections;
mod endpoint;
mod framing;
mod framing_scan;
mod head_limit;
mod head_lines;
mod head_timer;
mod held_bodies;
mod listen;
mod node_memory;
mod port_share;
mod read_watch;
mod response_fault;
mod response_stream;
mod send_permit;
mod served_body;
mod server;
mod tls;
mod trace;
mod unread_body;

pub use abortive_stream::{AbortiveStream, ConnectOptions};
pub use body::{
    Body, BodyError, BodyTimeouts, BoxError, empty, full, read_limited, read_with_timeouts,
    streamed,
};
pub use body_budget::BodyBudget;
pub use body_end::BodyEnd;
pub use body_reading::BodyLimits;
pub use body_room::{BodyRoom, NoRoom, SMALL_BYTES};
pub use checked_body::{CheckedBody, ResponseError};
pub use client_connection::{ClientConnection, SendFailure};
pub use close_reason::CloseReason;
pub use connection_state::ConnectionState;
pub use connection_watch::ConnectionWatch;
pub use endpoint::{Endpoint, EndpointOptions, Identity};
pub use head_limit::HeadLimit;
pub use listen::listen;
pub use node_memory::NodeMemory;
pub use port_share::PortShare;
pub use response_fault::{MALFORMED_RESPONSES, ResponseFault};
pub use send_permit::SendPermit;
pub use server::{Handler, ServerOptions, serve};
pub use tls::{ClientAuth, Connection, TLS_SERVER_NAME, Tls, TlsError, TlsFiles};
pub use trace::set_trace_injector;
pub use unread_body::{DiscardLimits, UnreadBody};
