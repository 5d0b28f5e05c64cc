//! Messages between nodes: HTTP with a typed body, one kind of message a path.

mod client;
mod gossip_message;
mod message;
mod port;

pub use client::PeerClient;
pub use gossip_message::GossipMessage;
pub use message::{Envelope, PeerMessage, Sender};
pub use port::{MESSAGE_LIMIT, PeerHandler, PeerPort};
