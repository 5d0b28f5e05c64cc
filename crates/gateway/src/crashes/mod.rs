//! Requests and prompt parts under which backend servers crash: the evidence of this node, and what it refuses because of all nodes'.

mod admit;
mod answer_begin;
mod blocks;
mod digest;
mod fingerprint;
mod observe;
mod probe;
mod probe_claim;
mod sent_request;
mod state;
mod unmarked_answer;
mod unmarked_end;
mod unsettled;

pub use admit::{admit, is_blocked, may_repeat, send_refusal};
pub use answer_begin::AnswerBegin;
pub use blocks::{
    block_statuses, lift, lift_answered, plan_blocks, queue_write, receive_block, write_turn,
};
pub use digest::{CrashDigest, crash_digest, receive_crashes};
pub use fingerprint::Fingerprint;
pub use observe::{
    AnswerSpan, log_broken_answer, note_answer_progress, note_answering, note_crash,
    note_interrupted, note_removed_servers, note_unopened, note_whole_answer,
};
pub use probe_claim::ProbeClaim;
pub use sent_request::{SentRequest, server_hash};
pub use state::{CrashState, InterruptedAnswer, InterruptedAnswers, Interruption};
pub use unmarked_answer::UnmarkedAnswer;
pub use unmarked_end::{EndedAnswer, REMOVAL_TIME, UnmarkedEnd, unmarked_end};
pub use unsettled::{UnsettledAnswer, UnsettledRequest, UnsettledRequests};
