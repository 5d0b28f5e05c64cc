//! Sending of a request to one backend server after the other until one answers.

mod aim;
mod not_sent;
mod open_attempts;
mod response_timeout;
mod retry_gate;
mod sender;

pub use aim::SendAim;
pub use not_sent::NotSent;
pub use sender::{RequestSender, TAKEOVER_RECHECK};
