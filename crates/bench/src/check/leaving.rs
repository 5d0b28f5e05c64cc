//! The guarantee that a VM that is leaving receives no new work after a grace period.

use std::time::Duration;

use bulrushhall_core::VmName;

use crate::check::{Violation, ViolationKind};

/// A `WorkSample` is the number of requests that a VM had received at one time.
#[derive(Clone, Debug)]
pub struct WorkSample {
    /// The VM.
    pub vm: VmName,
    /// When the sample was taken, from the reclaim notice of the VM.
    pub after_notice: Duration,
    /// The requests that it had received until then.
    pub given: u64,
}

/// Checks that no VM received new work later than `grace` after its notice.
pub fn no_new_work(samples: &[WorkSample], grace: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    for later in samples {
        let before = samples.iter().filter(|sample| {
            sample.vm == later.vm
                && grace <= sample.after_notice
                && sample.after_notice < later.after_notice
        });
        let Some(first) = before.min_by_key(|sample| sample.after_notice) else { continue };
        if later.given <= first.given {
            continue;
        }
        let seen =
            format!("{} requests more than at the end of the grace", later.given - first.given);
        violations.push(Violation::new(ViolationKind::WorkWhileLeaving, later.vm.as_str(), seen));
    }
    violations
}
