//! Messages between nodes: HTTP with a typed body, one kind of message a path.

mod client;
mod message;
mod port;
mod spread;

pub use client::PeerClient;
pub use message::{Envelope, PeerMessage, Sender};
pub use port::{MESSAGE_LIMIT, PeerHandler, PeerPort};
pub use spread::Spread;
