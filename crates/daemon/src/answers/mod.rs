//! Answers in progress, and finished ones that are kept for late readers.

mod answer;
mod registry;
mod tokens;

pub use answer::{Answer, AnswerEnd, EvacuationState, Part, Reader, TokenPosition};
pub use registry::Answers;
