//! Messages between nodes: HTTP requests with a typed body, with one path per kind of message.

mod client;
mod gossip_message;
mod message;
mod port;

pub use client::PeerClient;
pub use gossip_message::GossipMessage;
pub use message::{Envelope, PeerMessage, Sender};
pub use port::{MESSAGE_LIMIT, PeerHandler, PeerPort};
