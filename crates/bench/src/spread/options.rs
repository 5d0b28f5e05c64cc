//! The size of a cluster of members and the faults between them.

use std::time::Duration;

use bulrushhall_coord::MembershipOptions;

/// A `Shape` tells how heartbeats are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// All members form one domain.
    Flat,
    /// Each availability zone is a domain.
    ByZone,
    /// As the daemon does it: flat while there are few members.
    Daemon,
}

/// `SpreadOptions` size a cluster of members.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// The members, spread evenly over the zones.
    pub members: usize,
    /// The availability zones.
    pub zones: usize,
    /// The regions, each with a part of the zones.
    pub regions: usize,
    /// How heartbeats are spread.
    pub shape: Shape,
    /// The share of messages and replies that are lost.
    pub loss: f64,
    /// The one-way delay inside a region.
    pub near_delay: Duration,
    /// The one-way delay between regions.
    pub far_delay: Duration,
    /// The time in which the members find together before they are measured.
    pub warm: Duration,
    /// The time over which the cost is counted.
    pub counted: Duration,
    /// The seed of everything that is random.
    pub seed: u64,
}

impl Default for SpreadOptions {
    fn default() -> Self {
        SpreadOptions {
            members: 5,
            zones: 4,
            regions: 1,
            shape: Shape::Daemon,
            loss: 0.0,
            near_delay: Duration::from_micros(1_500),
            far_delay: Duration::from_millis(40),
            warm: Duration::from_secs(60),
            counted: Duration::from_secs(60),
            seed: 1,
        }
    }
}

impl SpreadOptions {
    /// Returns a cluster of `members` in the zones and regions that such a size has.
    pub fn sized(members: usize, shape: Shape, loss: f64, seed: u64) -> SpreadOptions {
        let (zones, regions) = if members < 100 { (4, 1) } else { (10, 3) };
        SpreadOptions { members, zones, regions, shape, loss, seed, ..SpreadOptions::default() }
    }

    /// Returns what the shape means for the machines.
    pub fn membership(&self) -> MembershipOptions {
        let max_flat_nodes = match self.shape {
            Shape::Flat => usize::MAX,
            Shape::ByZone => 0,
            Shape::Daemon => MembershipOptions::default().max_flat_nodes,
        };
        MembershipOptions { max_flat_nodes, ..MembershipOptions::default() }
    }
}
