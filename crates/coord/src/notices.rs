//! Which VMs are leaving, from notices, the lagging list and other nodes: whichever tells first.

use std::collections::BTreeMap;

use bulrushhall_core::{Stamp, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// The most VMs that are remembered; the ones that were told of first are forgotten first.
const REMEMBERED: usize = 20_000;

/// A `Source` told of a leaving VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A notice of the cloud API.
    Notice,
    /// The list of VMs.
    List,
    /// Another node.
    Peer,
}

/// A `Departure` tells when and from whom a node first heard that a VM is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When it was heard.
    pub at: Stamp,
    /// Who told.
    pub source: Source,
}

/// `Notices` are the VMs that are known to leave.
///
/// A VM's name is never used twice and a reclaim is never taken back, so nothing that is heard
/// later clears an entry: a list that lags and still shows the VM as staying, or a notice that is
/// no longer in the answer, changes nothing.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: BTreeMap<VmName, Departure>,
}

impl Notices {
    /// Takes names of leaving VMs; returns those that were not known to leave.
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
        while REMEMBERED < self.leaving.len() {
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

    /// Returns when and from whom it was first heard that a VM is leaving.
    pub fn departure(&self, vm: &VmName) -> Option<Departure> {
        self.leaving.get(vm).copied()
    }

    /// Returns the VMs that are known to leave, in the order of their names.
    pub fn leaving(&self) -> impl Iterator<Item = &VmName> {
        self.leaving.keys()
    }

    /// Returns a hash of the VMs that are known to leave, to compare with another node's.
    pub fn hash(&self) -> u64 {
        // Adding up the hashes makes the order of arrival irrelevant.
        let hashes = self.leaving.keys().map(|vm| xxh3_64(vm.as_str().as_bytes()));
        hashes.fold(0, u64::wrapping_add)
    }
}
