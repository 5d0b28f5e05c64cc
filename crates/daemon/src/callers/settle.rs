//! The last filter: records how a request ended.

use bulrushhall_external::engine::Usage;

use crate::{
    answers::{Answer, AnswerEnd},
    context::Context,
    handoff::Ended,
};

/// Ends an answer successfully.
pub async fn complete(cx: &Context, answer: &Answer, usage: Usage) {
    end(cx, answer, AnswerEnd::Whole(usage)).await;
}

/// Ends an answer that failed.
pub async fn fail(cx: &Context, answer: &Answer, failure: AnswerEnd) {
    end(cx, answer, failure).await;
}

// Readers see the end once the copy holder has it too. Otherwise a copy holder that takes over
// could run a request again whose end has already been shown.
async fn end(cx: &Context, answer: &Answer, end: AnswerEnd) {
    let _ = cx.ownership.send(Ended { id: answer.id(), end }).await;
}
