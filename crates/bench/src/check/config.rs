//! The promise that a configuration is in force everywhere in time and never goes back.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{NodeName, Revision};

use crate::check::{Broken, Violation};

/// An `Observation` is the revision that a node had in force at one time.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The node.
    pub node: NodeName,
    /// When it was seen, from the start of the run.
    pub at: Duration,
    /// The revision.
    pub revision: Revision,
}

/// Checks observations against the times at which revisions were accepted.
pub fn spreads_and_never_reverts(
    observations: &[Observation],
    accepted: &[(Revision, Duration)],
    bound: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut highest: BTreeMap<&NodeName, Revision> = BTreeMap::new();
    let mut in_time: Vec<&Observation> = observations.iter().collect();
    in_time.sort_by_key(|observation| observation.at);
    for observation in in_time {
        let Observation { node, at, revision } = observation;
        let before = highest.entry(node).or_default();
        if *revision < *before {
            let seen = format!("revision {revision} after {before}");
            violations.push(Violation::new(Broken::ConfigReverted, node.as_str(), seen));
        }
        *before = (*before).max(*revision);
        let due = accepted.iter().filter(|(_, accepted)| *accepted + bound <= *at);
        let due = due.map(|(revision, _)| *revision).max().unwrap_or_default();
        if *revision < due {
            let seen = format!("revision {revision} where {due} was due");
            violations.push(Violation::new(Broken::ConfigLate, node.as_str(), seen));
        }
    }
    violations
}
