//! Promises about calls that may run at most once.

use bulrushhall_core::Ran;
use bulrushhall_standin::service::ServiceCounts;

use crate::{
    check::{Broken, Violation},
    load::{Outcome, Record},
};

/// Checks that no key ran twice and that a key whose caller was told so did run.
pub fn at_most_once(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, runs) in &counts.runs {
        if 1 < *runs {
            violations.push(Violation::new(Broken::RanTwice, key, format!("{runs} runs")));
        }
    }
    for record in records {
        let Some(key) = &record.key else { continue };
        let told = record.outcome == Outcome::Finished || record.ran == Ran::Yes;
        if told && !counts.runs.contains_key(key) {
            violations.push(Violation::new(Broken::NeverRan, key, "answered as run"));
        }
    }
    violations
}

/// Checks that calls whose callers were told that they did not run truly did not.
///
/// This is to be asked only once nothing can run any more.
pub fn not_run_was_not_run(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records {
        let Some(key) = &record.key else { continue };
        let told = record.outcome == Outcome::Refused && record.ran == Ran::No;
        if !told {
            continue;
        }
        let Some(runs) = counts.runs.get(key) else { continue };
        let seen = format!("{runs} runs, code {:?}", record.code);
        violations.push(Violation::new(Broken::RanThoughRefused, key, seen));
    }
    violations
}
