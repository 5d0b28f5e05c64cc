//! Guarantees about answers: an accepted request ends, and its answer is complete and belongs to
//! its prompt.

use bulrushhall_standin::engine::expected_answer;

use crate::{
    check::{Violation, ViolationKind},
    load::{Kind, Outcome, Record},
};

/// The error code of an accepted request whose deadline passed, which counts as a valid end.
const DEADLINE: &str = "deadline_passed";

/// Checks that each accepted request finished or exceeded its deadline.
pub fn accepted_requests_end(records: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records.iter().filter(|record| record.accepted) {
        let expired = record.code.as_deref() == Some(DEADLINE);
        if record.outcome == Outcome::Finished || expired && record.outcome == Outcome::Failed {
            continue;
        }
        let seen = format!("{:?}, code {:?}", record.outcome, record.code);
        violations.push(Violation::new(ViolationKind::AcceptedLost, subject(record), seen));
    }
    violations
}

/// Checks that each finished answer of a model is complete and the one to its prompt.
///
/// The text of an unfinished answer must be a prefix of the expected one.
pub fn complete_and_matching(records: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records.iter().filter(|record| is_model(record)) {
        if 0 < record.skipped || 0 < record.duplicated {
            let seen = format!("{} skipped, {} twice", record.skipped, record.duplicated);
            violations.push(Violation::new(ViolationKind::NotWhole, subject(record), seen));
        }
        let expected = expected_answer(&format!("user: {}\n", record.prompt), record.max_tokens);
        if !expected.starts_with(&record.text) {
            let seen = format!("read {:?}", excerpt(&record.text));
            violations.push(Violation::new(ViolationKind::NotOwn, subject(record), seen));
            continue;
        }
        if record.outcome == Outcome::Finished && expected.len() != record.text.len() {
            let seen = format!("{} of {} bytes", record.text.len(), expected.len());
            violations.push(Violation::new(ViolationKind::NotWhole, subject(record), seen));
        }
    }
    violations
}

/// Checks that no stream was interrupted in a run whose only faults were planned stops.
pub fn planned_stop_cuts_nothing(records: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in records.iter().filter(|record| record.accepted) {
        let unfinished = matches!(record.outcome, Outcome::Cut | Outcome::Failed);
        if !unfinished && record.reconnects == 0 {
            continue;
        }
        let seen = format!("{:?}, {} reconnects", record.outcome, record.reconnects);
        violations.push(Violation::new(ViolationKind::CutByStop, subject(record), seen));
    }
    violations
}

/// Returns the text that identifies a record's request.
pub fn subject(record: &Record) -> String {
    let id = record.request.as_deref().or(record.key.as_deref()).unwrap_or("without id");
    format!("{:?} {} {id}", record.kind, record.number)
}

fn is_model(record: &Record) -> bool {
    matches!(record.kind, Kind::Chat | Kind::Patient)
}

fn excerpt(text: &str) -> String {
    text.chars().take(40).collect()
}
