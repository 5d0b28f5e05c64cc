//! The last filter: how a request ended.

use bulrushhall_external::engine::Usage;

use crate::{
    answers::{Answer, AnswerEnd},
    context::Context,
    handoff::Ended,
};

/// Ends an answer that is whole.
pub async fn whole(cx: &Context, answer: &Answer, usage: Usage) {
    end(cx, answer, AnswerEnd::Whole(usage)).await;
}

/// Ends an answer that will never be whole.
pub async fn fail(cx: &Context, answer: &Answer, failed: AnswerEnd) {
    end(cx, answer, failed).await;
}

// Readers see the end once the holder of the copy has it too: an answer whose end was shown must
// not be run again by a holder that takes over.
async fn end(cx: &Context, answer: &Answer, end: AnswerEnd) {
    let _ = cx.ownership.send(Ended { id: answer.id(), end }).await;
}
