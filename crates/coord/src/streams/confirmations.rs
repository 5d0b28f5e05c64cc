//! Which nodes know a version.

use std::collections::{BTreeMap, HashMap};

use bulrushhall_core::{Incarnation, ServiceName, Stamp};

use super::{VersionsReport, versions::PRESENCE_GAP};

/// `VersionConfirmations` are the versions that other nodes have reported lately.
#[derive(Clone, Debug, Default)]
pub struct VersionConfirmations {
    nodes: HashMap<Incarnation, BTreeMap<(ServiceName, String), Stamp>>,
}

impl VersionConfirmations {
    /// Notes the report of a node.
    pub fn note(&mut self, now: Stamp, node: Incarnation, report: &VersionsReport) {
        let known = self.nodes.entry(node).or_default();
        known.retain(|_, at| now.since(*at) < PRESENCE_GAP);
        for seen in &report.versions {
            if u128::from(seen.last_ms) < PRESENCE_GAP.as_millis() {
                known.insert((seen.service.clone(), seen.version.clone()), now);
            }
        }
    }

    /// Forgets the nodes that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(Incarnation) -> bool) {
        self.nodes.retain(|node, _| is_known(*node));
    }

    /// Returns whether all of some nodes know a version.
    pub fn all_know(
        &self,
        now: Stamp,
        service: &ServiceName,
        version: &str,
        nodes: impl IntoIterator<Item = Incarnation>,
    ) -> bool {
        let key = (service.clone(), version.to_owned());
        nodes.into_iter().all(|node| {
            let at = self.nodes.get(&node).and_then(|known| known.get(&key));
            at.is_some_and(|at| now.since(*at) < PRESENCE_GAP)
        })
    }
}
