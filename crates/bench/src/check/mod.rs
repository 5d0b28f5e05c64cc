//! Checks of what callers and backend servers saw against each promise.
//!
//! They are written apart from the code that they judge: they know only records of callers,
//! counts of backend servers and what operators can see.

mod answers;
mod config;
mod leaving;
mod orders;
mod violation;

pub use answers::{accepted_survives, planned_stop_cuts_nothing, whole_and_own};
pub use config::{Observation, spreads_and_never_reverts};
pub use leaving::{WorkSample, no_new_work};
pub use orders::{at_most_once, not_run_was_not_run};
pub use violation::{Broken, Violation};

use bulrushhall_standin::service::ServiceCounts;

use crate::load::Record;

/// Checks the records of a run, with the ledger of its plain service, against all promises that
/// records alone can judge.
pub fn judge(records: &[Record], counts: &ServiceCounts) -> Vec<Violation> {
    let mut violations = accepted_survives(records);
    violations.extend(whole_and_own(records));
    violations.extend(not_run_was_not_run(records, counts));
    violations.extend(at_most_once(records, counts));
    violations
}
