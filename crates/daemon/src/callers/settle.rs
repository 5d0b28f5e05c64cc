//! The last filter: how a request ended.

use bulrushhall_platform::engine::Usage;

use crate::{
    answers::{Answer, AnswerEnd},
    context::Context,
};

/// Ends an answer that is whole.
pub fn whole(cx: &Context, answer: &Answer, usage: Usage) {
    answer.end(AnswerEnd::Whole(usage));
    cx.answers.finished(cx.clock.now(), answer.id());
}

/// Ends an answer that will never be whole.
pub fn fail(cx: &Context, answer: &Answer, end: AnswerEnd) {
    answer.end(end);
    cx.answers.finished(cx.clock.now(), answer.id());
}
