//! Answers in progress and finished ones that late readers may still ask for.

mod answer;
mod registry;

pub use answer::{Answer, AnswerEnd, Evacuate, Part, Place, Reader};
pub use registry::Answers;
