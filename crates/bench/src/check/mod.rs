//! Checks of what callers and backend servers observed against each guarantee of the system.
//!
//! The checks are independent of the code that they check: they use only records of callers, counts
//! of backend servers and what operators can see.

mod answers;
mod config;
mod leaving;
mod orders;
mod violation;

pub use answers::{accepted_requests_end, complete_and_matching, planned_stop_cuts_nothing};
pub use config::{Observation, spreads_and_never_reverts};
pub use leaving::{WorkSample, no_new_work};
pub use orders::{at_most_once, refused_calls_did_not_run};
pub use violation::{Violation, ViolationKind};

use bulrushhall_standin::service::ServiceCounts;

use crate::load::Record;

/// Checks the records of a run, with the counts of its plain service, against all guarantees that
/// need no other input.
pub fn judge(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = accepted_requests_end(records);
    violations.extend(complete_and_matching(records));
    violations.extend(refused_calls_did_not_run(records, counts));
    violations.extend(at_most_once(records, counts));
    violations
}
