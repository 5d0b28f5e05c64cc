//! The plan of the fleet, as it is kept in the key-value service.

use std::{collections::BTreeMap, fmt};

use bulrushhall_core::{ServiceName, VmName};
use serde::{Deserialize, Serialize};

use crate::fleet::Place;

/// A `SlotId` names one purchase: the slot's number in its service, and the plan generation that
/// chose its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlotId {
    /// The number in the service; never used twice.
    pub number: u64,
    /// The plan generation that chose the place.
    pub generation: u64,
}

/// A `SlotState` is how far a slot's VM is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// It is to be bought.
    Wanted,
    /// It is bought and gets ready.
    Bought(VmName),
    /// It serves.
    Ready(VmName),
    /// It takes no new work and is given back or taken back.
    Leaving(VmName),
}

/// A `Slot` is one VM of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Its name.
    pub id: SlotId,
    /// The service that it is for.
    pub service: ServiceName,
    /// Where it is bought.
    pub place: Place,
    /// How far it is.
    pub state: SlotState,
}

/// A `FleetPlan` is the agreed state of all purchases.
///
/// It is written by compare-and-swap before anything in it is bought. Two nodes that both believe
/// to hold the duty therefore buy from the same slots with the same tokens. One that acts on an
/// old plan can buy at most the slots that were wanted there and have since been replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// The number of this plan; it rises with each change.
    pub generation: u64,
    /// The number that the next new slot gets.
    pub next: u64,
    /// The slots, by number.
    pub slots: BTreeMap<u64, Slot>,
}

impl FleetPlan {
    /// Returns the slots of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Slot> {
        self.slots.values().filter(move |slot| slot.service == *service)
    }

    /// Returns the slot of a VM.
    pub fn find(&self, vm: &VmName) -> Option<&Slot> {
        self.slots.values().find(|slot| slot.state.vm() == Some(vm))
    }
}

impl SlotState {
    /// Returns the VM, once there is one.
    pub fn vm(&self) -> Option<&VmName> {
        match self {
            SlotState::Wanted => None,
            SlotState::Bought(vm) | SlotState::Ready(vm) | SlotState::Leaving(vm) => Some(vm),
        }
    }

    /// Returns whether it serves.
    pub fn is_ready(&self) -> bool {
        matches!(self, SlotState::Ready(_))
    }

    /// Returns whether it serves or will serve.
    pub fn counts(&self) -> bool {
        !matches!(self, SlotState::Leaving(_))
    }
}

impl Slot {
    /// Returns the token that makes its purchase idempotent.
    pub fn token(&self) -> String {
        format!("{}/{}", self.service, self.id)
    }
}

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.number, self.generation)
    }
}
