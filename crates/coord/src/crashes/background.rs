//! How often answers are broken off by crashes, whatever their prompts.

/// A `Background` is what a judgement on one part is compared with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Background {
    /// The share of all answers that are broken off by crashes.
    pub crash_share: f64,
    /// The number of parts that are suspected and have no sound answer.
    pub suspects: usize,
}
