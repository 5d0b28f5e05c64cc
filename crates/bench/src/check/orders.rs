//! Guarantees about calls that may run at most once.

use bulrushhall_core::Ran;
use bulrushhall_standin::service::ServiceCounts;

use crate::{
    check::{Violation, ViolationKind},
    load::{Outcome, Record},
};

/// Checks that no idempotency key ran twice, and that a call that was reported as run did run.
pub fn at_most_once(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, runs) in &counts.runs {
        if 1 < *runs {
            violations.push(Violation::new(ViolationKind::RanTwice, key, format!("{runs} runs")));
        }
    }
    for record in records {
        let Some(key) = &record.key else { continue };
        let reported_run = record.outcome == Outcome::Finished || record.ran == Ran::Yes;
        if reported_run && !counts.runs.contains_key(key) {
            violations.push(Violation::new(ViolationKind::NeverRan, key, "answered as run"));
        }
    }
    violations
}

/// Checks that calls that were refused and reported as not run did not run.
///
/// Must be called only when no call can run any more: one that runs later would be missed.
pub fn refused_calls_did_not_run(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let Some(key) = &record.key else { continue };
        let reported_not_run = record.outcome == Outcome::Refused && record.ran == Ran::No;
        if !reported_not_run {
            continue;
        }
        let Some(runs) = counts.runs.get(key) else { continue };
        let seen = format!("{runs} runs, code {:?}", record.code);
        violations.push(Violation::new(ViolationKind::RanThoughRefused, key, seen));
    }
    violations
}
