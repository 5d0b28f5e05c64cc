//! The fleet plan: which VMs are bought for each service, in which places, and which are released.

mod backoff;
mod offer;
mod options;
mod plan;
mod planner;
mod spread;
mod warm_up;

pub use backoff::Backoff;
pub use offer::{FleetMarket, FleetOffer, Place};
pub use options::FleetOptions;
pub use plan::{FleetPlan, Slot, SlotId, SlotState};
pub use planner::{FleetAction, FleetEvent, FleetPlanner};
pub use spread::Spread;
pub use warm_up::{Shortfall, next_to_load};
