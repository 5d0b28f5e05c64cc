//! Messages between nodes: HTTP with a typed body, one kind of message a path.

mod client;
mod hello;
mod message;
mod port;

pub use client::PeerClient;
pub use hello::{greet, register as register_hello};
pub use message::{Envelope, PeerMessage, Sender};
pub use port::{MESSAGE_LIMIT, PeerHandler, PeerPort};
