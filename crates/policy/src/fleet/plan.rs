//! The fleet plan, as stored in the key-value service.

use std::{collections::BTreeMap, fmt};

use bulrushhall_core::{ServiceName, VmName};
use serde::{Deserialize, Serialize};

use crate::fleet::Place;

/// A `SlotId` identifies one purchase, by the number of the slot and the plan generation that chose
/// its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlotId {
    /// The number of the slot; it is never reused.
    pub number: u64,
    /// The plan generation that chose the place.
    pub generation: u64,
}

/// A `SlotState` is the lifecycle state of the VM of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// The VM is to be bought.
    Wanted,
    /// The VM is bought and starting.
    Bought(VmName),
    /// The VM serves requests.
    Ready(VmName),
    /// The VM accepts no new work and is being released or reclaimed.
    Leaving(VmName),
}

/// A `Slot` is a place in the plan for one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Its identifier.
    pub id: SlotId,
    /// The service that it is for.
    pub service: ServiceName,
    /// The place in which its VM is bought.
    pub place: Place,
    /// The state of its VM.
    pub state: SlotState,
}

/// A `FleetPlan` is the agreed state of all purchases.
///
/// It is written by compare-and-swap before anything in it is bought. Two nodes that both believe
/// that they hold the duty therefore buy the same slots with the same tokens. A node that acts on a
/// stale plan can buy at most the slots that were wanted there and have since been replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// The generation of this plan; it increases with each change.
    pub generation: u64,
    /// The number of the next new slot.
    pub next: u64,
    /// The slots, by number.
    pub slots: BTreeMap<u64, Slot>,
}

impl FleetPlan {
    /// Returns the slots of a service.
    pub fn slots_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Slot> {
        self.slots.values().filter(move |slot| slot.service == *service)
    }

    /// Returns the slot of a VM.
    pub fn find(&self, vm: &VmName) -> Option<&Slot> {
        self.slots.values().find(|slot| slot.state.vm() == Some(vm))
    }
}

impl SlotState {
    /// Returns the VM, or none before it is bought.
    pub fn vm(&self) -> Option<&VmName> {
        match self {
            SlotState::Wanted => None,
            SlotState::Bought(vm) | SlotState::Ready(vm) | SlotState::Leaving(vm) => Some(vm),
        }
    }

    /// Returns whether the VM serves requests.
    pub fn is_ready(&self) -> bool {
        matches!(self, SlotState::Ready(_))
    }

    /// Returns whether the VM serves requests or will do so.
    pub fn is_active(&self) -> bool {
        !matches!(self, SlotState::Leaving(_))
    }
}

impl Slot {
    /// Returns the idempotency token of the purchase.
    pub fn token(&self) -> String {
        format!("{}/{}", self.service, self.id)
    }
}

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.number, self.generation)
    }
}
