//! The VMs that are leaving, as first reported by a notice, the lagging list of VMs or another node.

use std::collections::BTreeMap;

use bulrushhall_core::{Stamp, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// The upper bound of the VMs that are kept; the earliest are dropped first.
const MAX_LEAVING: usize = 20_000;

/// A `Source` reports leaving VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A notice of the cloud API.
    Notice,
    /// The list of VMs of the cloud API.
    List,
    /// Another node.
    Peer,
}

/// A `Departure` is the first report that a VM is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When it was received.
    pub at: Stamp,
    /// The source of the report.
    pub source: Source,
}

/// `Notices` are the VMs that are known to leave.
///
/// The name of a VM is never reused and a reclaim is never revoked, so no later report clears an
/// entry: a list that lags and still shows the VM as staying, or a notice that is missing from a
/// later response, changes nothing.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: BTreeMap<VmName, Departure>,
}

impl Notices {
    /// Adds leaving VMs; returns those that were not known to leave yet.
    pub fn take(
        &mut self,
        now: Stamp,
        source: Source,
        vms: impl IntoIterator<Item = VmName>,
    ) -> Vec<VmName> {
        let mut new = Vec::new();
        for vm in vms {
            if self.leaving.contains_key(&vm) {
                continue;
            }
            self.leaving.insert(vm.clone(), Departure { at: now, source });
            new.push(vm);
        }
        while MAX_LEAVING < self.leaving.len() {
            let oldest = self.leaving.iter().min_by_key(|(_, departure)| departure.at);
            let Some(oldest) = oldest.map(|(vm, _)| vm.clone()) else { break };
            self.leaving.remove(&oldest);
        }
        new
    }

    /// Returns whether a VM is known to leave.
    pub fn is_leaving(&self, vm: &VmName) -> bool {
        self.leaving.contains_key(vm)
    }

    /// Returns the first report that a VM is leaving.
    pub fn departure(&self, vm: &VmName) -> Option<Departure> {
        self.leaving.get(vm).copied()
    }

    /// Returns the VMs that are known to leave, ordered by name.
    pub fn leaving(&self) -> impl Iterator<Item = &VmName> {
        self.leaving.keys()
    }

    /// Returns a hash of the VMs that are known to leave, to compare with another node's.
    pub fn hash(&self) -> u64 {
        // The sum of the hashes does not depend on the order of arrival.
        let hashes = self.leaving.keys().map(|vm| xxh3_64(vm.as_str().as_bytes()));
        hashes.fold(0, u64::wrapping_add)
    }
}
