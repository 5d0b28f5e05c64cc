//! Tests whether the answers of a version are worse than those of another one in the same time.

use bulrushhall_coord::Count;

use super::TrackCounts;

/// The likelihood ratio, as a logarithm, from which a version counts as bad: one in 160,000 by chance.
const BAD_LOG_RATIO: f64 = 12.0;
/// The same from which a version is doubtful.
const DOUBTFUL_LOG_RATIO: f64 = 4.6;
/// The same from which a version is not completed: one in twelve by chance.
const SUSPECT_LOG_RATIO: f64 = 2.5;
/// The increases of the share of bad answers that are looked for: a small one takes many answers to find, a
/// large one few.
const INCREASES: [f64; 2] = [0.12, 0.35];
/// The least increase, as a share of the control's share of bad answers.
const MIN_RELATIVE_INCREASE: f64 = 0.6;
/// The answers that are assumed of the control in addition to those seen.
const PRIOR_ANSWERS: f64 = 20.0;
/// One cohort in this number may be bad for reasons of its own, such as an availability zone that fails.
const LIMITED_DIVISOR: usize = 4;
/// The fewest answers by which fixed thresholds decide.
const MIN_ANSWERS: u64 = 20;
/// The share of bad answers above twice that of the control from which fixed thresholds call a version bad.
const THRESHOLD: f64 = 0.1;

/// A `Verdict` is how the evidence about a version stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against it.
    Good,
    /// Its answers are somewhat worse, as often happens by chance.
    Suspect,
    /// Its answers are worse, but that may be chance.
    Doubtful,
    /// Its answers are worse.
    Bad,
}

/// A `Judge` compares the answers of a version with those of a control.
pub trait Judge: Send + Sync {
    /// Returns the verdict on the cohorts of a version, given the control's answers in the same time.
    fn judge(&self, control: TrackCounts, cohorts: &[TrackCounts]) -> Verdict;
}

/// Returns the judge with a name: `sequential` or `threshold`.
pub fn judge_named(name: &str) -> Option<Box<dyn Judge>> {
    match name {
        "sequential" => Some(Box::new(SequentialJudge)),
        "threshold" => Some(Box::new(ThresholdJudge)),
        _ => None,
    }
}

/// A `SequentialJudge` is a sequential probability ratio test of the hypothesis that the share of bad answers
/// is increased, with little weight on the worst quarter of the cohorts.
#[derive(Clone, Copy, Debug, Default)]
pub struct SequentialJudge;

impl Judge for SequentialJudge {
    fn judge(&self, control: TrackCounts, cohorts: &[TrackCounts]) -> Verdict {
        let target = limited_sum(cohorts);
        let expected = expected_share(control);
        let log_ratios = INCREASES.map(|increase| log_ratio(target, expected, increase));
        let log_ratio = log_ratios.into_iter().fold(f64::NEG_INFINITY, f64::max);
        if BAD_LOG_RATIO <= log_ratio {
            Verdict::Bad
        } else if DOUBTFUL_LOG_RATIO <= log_ratio {
            Verdict::Doubtful
        } else if SUSPECT_LOG_RATIO <= log_ratio {
            Verdict::Suspect
        } else {
            Verdict::Good
        }
    }
}

/// A `ThresholdJudge` compares the shares of bad answers by fixed thresholds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThresholdJudge;

impl Judge for ThresholdJudge {
    fn judge(&self, control: TrackCounts, cohorts: &[TrackCounts]) -> Verdict {
        let target = cohorts.iter().copied().fold(TrackCounts::default(), TrackCounts::plus);
        if target.answers < MIN_ANSWERS {
            return Verdict::Good;
        }
        let share = |counts: TrackCounts| counts.bad as f64 / counts.answers.max(1) as f64;
        let is_bad = 2.0 * share(control) + THRESHOLD < share(target);
        if is_bad { Verdict::Bad } else { Verdict::Good }
    }
}

// The logarithm of how much more likely the answers are with an increased share of bad ones.
fn log_ratio(target: TrackCounts, expected: f64, increase: f64) -> f64 {
    let (answers, bad) = (target.answers as f64, target.bad as f64);
    let increased = (expected + increase.max(expected * MIN_RELATIVE_INCREASE)).min(0.99);
    bad * (increased / expected).ln()
        + (answers - bad) * ((1.0 - increased) / (1.0 - expected)).ln()
}

// An upper estimate, as the control has few answers at first.
fn expected_share(control: TrackCounts) -> f64 {
    let bad = control.bad as f64 + 1.0;
    ((bad + bad.sqrt()) / (control.answers as f64 + PRIOR_ANSWERS)).min(0.9)
}

// Limits the bad answers of the worst quarter of the cohorts to those of the next worse one.
fn limited_sum(cohorts: &[TrackCounts]) -> TrackCounts {
    let mut ranked: Vec<TrackCounts> =
        cohorts.iter().copied().filter(|counts| 0 < counts.answers).collect();
    ranked.sort_by_key(|counts| std::cmp::Reverse(counts.bad));
    let limited = if ranked.len() < 2 { 0 } else { ranked.len().div_ceil(LIMITED_DIVISOR) };
    let limit = ranked.get(limited).map_or(u64::MAX, |next| next.bad);
    let mut sum = TrackCounts::default();
    for counts in ranked {
        sum = sum.plus(TrackCounts { bad: counts.bad.min(limit), ..counts });
    }
    sum
}
