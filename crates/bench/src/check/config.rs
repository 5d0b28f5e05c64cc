//! The guarantee that a configuration is in force on all nodes in time and is never reverted.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{NodeName, Revision};

use crate::check::{Violation, ViolationKind};

/// An `Observation` is the configuration revision that a node had in force at one time.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The node.
    pub node: NodeName,
    /// When it was observed, from the start of the run.
    pub at: Duration,
    /// The revision.
    pub revision: Revision,
}

/// Checks that each node has an accepted revision in force within `bound`, and that no node goes
/// back to an earlier revision.
pub fn spreads_and_never_reverts(
    observations: &[Observation],
    accepted: &[(Revision, Duration)],
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut highest: BTreeMap<&NodeName, Revision> = BTreeMap::new();
    let mut ordered: Vec<&Observation> = observations.iter().collect();
    ordered.sort_by_key(|observation| observation.at);
    for observation in ordered {
        let Observation { node, at, revision } = observation;
        let before = highest.entry(node).or_default();
        if *revision < *before {
            let seen = format!("revision {revision} after {before}");
            violations.push(Violation::new(ViolationKind::ConfigReverted, node.as_str(), seen));
        }
        *before = (*before).max(*revision);
        let due = accepted.iter().filter(|(_, accepted)| *accepted + bound <= *at);
        let due = due.map(|(revision, _)| *revision).max().unwrap_or_default();
        if *revision < due {
            let seen = format!("revision {revision} where {due} was due");
            violations.push(Violation::new(ViolationKind::ConfigLate, node.as_str(), seen));
        }
    }
    violations
}
