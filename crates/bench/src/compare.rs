//! Comparison of two reports: the figures that got worse by more than the allowed tolerance.

use std::fmt;

use serde::Serialize;

use crate::load::{Kind, Report, Summary};

/// `Allowances` are the tolerances within which a worse figure is not a regression.
#[derive(Clone, Copy, Debug)]
pub struct Allowances {
    /// The factor by which a latency may increase.
    pub latency: f64,
    /// The microseconds by which a latency may increase in addition to the factor.
    pub slack_micros: u64,
    /// The amount by which the shares of refused, failed and cut requests and the number of
    /// duplicate events per request may increase.
    pub share: f64,
}

/// A `Regression` is one figure that got worse.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Regression {
    /// The kind of request.
    pub kind: Kind,
    /// The name of the figure.
    pub figure: &'static str,
    /// The value in the earlier report.
    pub before: f64,
    /// The value in the later report.
    pub after: f64,
}

/// A `Verdict` is the result of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Verdict {
    /// No figure got worse by more than the tolerance.
    Held,
    /// These figures got worse by more than the tolerance.
    Worse(Vec<Regression>),
    /// The runs differ in mix, rate or kinds, so that they can't be compared.
    NotComparable,
}

impl Default for Allowances {
    fn default() -> Self {
        Allowances { latency: 1.15, slack_micros: 2_000, share: 0.005 }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Held => f.write_str("no regression"),
            Verdict::NotComparable => f.write_str("not comparable: mix, rate or kinds differ"),
            Verdict::Worse(regressions) => {
                for regression in regressions {
                    let Regression { kind, figure, before, after } = regression;
                    writeln!(f, "worse: {kind:?} {figure}: {before:.3} -> {after:.3}")?;
                }
                write!(f, "{} regressions", regressions.len())
            }
        }
    }
}

/// Compares a report with an earlier one.
pub fn compare(before: &Report, after: &Report, allowances: Allowances) -> Verdict {
    let kinds = |report: &Report| report.summaries.keys().copied().collect::<Vec<Kind>>();
    if before.mix != after.mix || before.rate != after.rate || kinds(before) != kinds(after) {
        return Verdict::NotComparable;
    }
    let mut worse = Vec::new();
    for (kind, old) in &before.summaries {
        let new = &after.summaries[kind];
        worse.extend(latencies(*kind, old, new, allowances));
        worse.extend(shares(*kind, old, new, allowances));
    }
    if worse.is_empty() { Verdict::Held } else { Verdict::Worse(worse) }
}

fn latencies(kind: Kind, old: &Summary, new: &Summary, allowances: Allowances) -> Vec<Regression> {
    let figures = [
        ("first token p95", old.first_token.p95, new.first_token.p95),
        ("gap p95", old.gap.p95, new.gap.p95),
        ("total p95", old.total.p95, new.total.p95),
    ];
    let mut worse = Vec::new();
    for (figure, before, after) in figures {
        let allowed = (before as f64 * allowances.latency) as u64 + allowances.slack_micros;
        if allowed < after {
            let (before, after) = (before as f64 / 1e3, after as f64 / 1e3);
            worse.push(Regression { kind, figure, before, after });
        }
    }
    worse
}

fn shares(kind: Kind, old: &Summary, new: &Summary, allowances: Allowances) -> Vec<Regression> {
    let share = |count: u64, of: &Summary| count as f64 / of.sent.max(1) as f64;
    let figures = [
        ("refused share", share(old.refused, old), share(new.refused, new)),
        ("failed share", share(old.failed, old), share(new.failed, new)),
        ("cut share", share(old.cut, old), share(new.cut, new)),
        ("duplicated share", share(old.duplicated, old), share(new.duplicated, new)),
    ];
    let mut worse = Vec::new();
    for (figure, before, after) in figures {
        if before + allowances.share < after {
            worse.push(Regression { kind, figure, before, after });
        }
    }
    worse
}
