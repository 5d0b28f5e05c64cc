//! The options of a simulated cluster.

use std::time::Duration;

use bulrushhall_coord::MembershipOptions;

/// A `Shape` is the division of the members into domains for heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// All members form one domain.
    Flat,
    /// Each availability zone is a domain.
    ByZone,
    /// As in the daemon: one domain up to a number of members, then one for each zone.
    Daemon,
}

/// `SpreadOptions` are the size of a cluster, its network and the lengths of a measurement.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// The number of members, which are distributed evenly over the zones.
    pub members: usize,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of regions, over which the zones are distributed.
    pub regions: usize,
    /// The domains for heartbeats.
    pub shape: Shape,
    /// The share of messages and replies that are lost.
    pub loss: f64,
    /// The shortest one-way delay inside a region; a message takes up to 1.5 times as long.
    pub near_delay: Duration,
    /// The shortest one-way delay between regions; a message takes up to 1.5 times as long.
    pub far_delay: Duration,
    /// The time for the membership to converge before the measurement.
    pub warm_up: Duration,
    /// The time over which messages, bytes and processor time are counted.
    pub counted: Duration,
    /// The seed of all random values.
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
            warm_up: Duration::from_secs(60),
            counted: Duration::from_secs(60),
            seed: 1,
        }
    }
}

impl SpreadOptions {
    /// Returns the options of a cluster of `members`, with zones and regions to match its size.
    pub fn sized(members: usize, shape: Shape, loss: f64, seed: u64) -> SpreadOptions {
        let (zones, regions) = if members < 100 { (4, 1) } else { (10, 3) };
        SpreadOptions { members, zones, regions, shape, loss, seed, ..SpreadOptions::default() }
    }

    /// Returns the options of the state machines for the shape.
    pub fn membership_options(&self) -> MembershipOptions {
        let max_flat_nodes = match self.shape {
            Shape::Flat => usize::MAX,
            Shape::ByZone => 0,
            Shape::Daemon => MembershipOptions::default().max_flat_nodes,
        };
        MembershipOptions { max_flat_nodes, ..MembershipOptions::default() }
    }
}
