//! HTTP on both sides: a client that knows whether a call may have left, and a server.

mod body;
mod endpoint;
mod listen;
mod server;
mod tls;
mod trace;

pub use body::{
    Body, BodyError, BodyFault, Progress, empty, full, read_limited, read_progressing, streamed,
};
pub use endpoint::{Endpoint, EndpointOptions, Identity};
pub use listen::listen;
pub use server::{Handler, ServerOptions, serve};
pub use tls::{Clients, Connection, NODE_NAME, Tls, TlsError, TlsFiles};
pub use trace::set_trace_injector;
