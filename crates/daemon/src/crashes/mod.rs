//! Requests of the own interface under which backend servers crash: what nodes know of them, and their refusal.

mod news;
mod observe;
mod refuse;

pub use news::{CrashNews, register};
pub use observe::{SentTo, call_digest, note_answered, note_failed, request_digest};
pub use refuse::{Refusal, may_repeat, refusal};
