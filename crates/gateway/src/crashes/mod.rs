//! Prompt parts under which backend servers crash: the evidence of this node, and what it refuses because of all nodes'.

mod admit;
mod blocks;
mod digest;
mod observe;
mod state;

pub use admit::{admit, is_blocked, may_repeat, may_send};
pub use blocks::{block_statuses, lift, plan_blocks, queue_write, receive_block};
pub use digest::{CrashDigest, crash_digest, receive_crashes};
pub use observe::{note_broken, note_broken_answer, note_whole_answer};
pub use state::CrashState;
