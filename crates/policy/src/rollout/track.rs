//! The two versions between which the traffic of a service is split, and the counts of their answers.

use std::collections::BTreeMap;

use bulrushhall_coord::Count;
use serde::{Deserialize, Serialize};

/// The number of cohorts into which the servers of the target version are divided. One server that fails for
/// reasons of its own spoils one cohort, not the evidence about the version.
pub const COHORTS: u8 = 8;

/// The bounds of the number of servers that the target version's requests go to, however few these are.
const MIN_TARGET_SERVERS: (usize, usize) = (2, 4);
/// One in this number of the target version's servers is used at least.
const MIN_TARGET_DIVISOR: usize = 8;

/// Returns the fewest servers of the target version that are used, of all of them.
pub fn min_target_servers(servers: usize) -> usize {
    let (least, most) = MIN_TARGET_SERVERS;
    (servers / MIN_TARGET_DIVISOR).clamp(least, most)
}

/// A `Track` is one of the two versions of a service in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Track {
    /// The version that serves so far.
    Current,
    /// The version that is rolled out.
    Target,
}

/// A `TrackGroup` is a set of servers whose answers are counted together: 0 is the current version, the
/// others are the cohorts of the target version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TrackGroup(pub u8);

impl TrackGroup {
    /// The servers of the current version.
    pub const CURRENT: TrackGroup = TrackGroup(0);

    /// Returns the track of the servers.
    pub fn track(self) -> Track {
        if self == TrackGroup::CURRENT { Track::Current } else { Track::Target }
    }
}

/// Returns the group of a server of the target version, by a hash of its name.
pub fn cohort(identity: u64) -> TrackGroup {
    TrackGroup(1 + (identity % u64::from(COHORTS)) as u8)
}

/// `TrackCounts` are numbers of requests that only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct TrackCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests that have answered or failed.
    pub answers: u64,
    /// Those of them that failed or were much slower than expected.
    pub bad: u64,
    /// Requests in flight that can't be resumed elsewhere: those begun less those ended.
    pub bound: Bound,
}

/// A `Bound` counts the requests that can only end where they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Those begun.
    pub begun: u32,
    /// Those ended.
    pub ended: u32,
}

impl Bound {
    /// Returns those in flight.
    pub fn in_flight(self) -> u32 {
        self.begun.saturating_sub(self.ended)
    }
}

impl TrackCounts {
    /// Returns the increase since `earlier`.
    pub fn since(self, earlier: TrackCounts) -> TrackCounts {
        self.merge(earlier, u64::saturating_sub, u32::saturating_sub)
    }

    fn merge(
        self,
        other: TrackCounts,
        of: impl Fn(u64, u64) -> u64,
        of_bound: impl Fn(u32, u32) -> u32,
    ) -> TrackCounts {
        TrackCounts {
            sent: of(self.sent, other.sent),
            answers: of(self.answers, other.answers),
            bad: of(self.bad, other.bad),
            bound: Bound {
                begun: of_bound(self.bound.begun, other.bound.begun),
                ended: of_bound(self.bound.ended, other.bound.ended),
            },
        }
    }
}

impl Count for TrackCounts {
    fn plus(self, other: TrackCounts) -> TrackCounts {
        self.merge(other, u64::saturating_add, u32::saturating_add)
    }

    fn greater(self, other: TrackCounts) -> TrackCounts {
        self.merge(other, u64::max, u32::max)
    }
}

impl From<(u64, u64, u64, u64)> for TrackCounts {
    fn from((sent, answers, bad, bound): (u64, u64, u64, u64)) -> TrackCounts {
        let bound = Bound { begun: (bound >> 32) as u32, ended: bound as u32 };
        TrackCounts { sent, answers, bad, bound }
    }
}

impl From<TrackCounts> for (u64, u64, u64, u64) {
    fn from(counts: TrackCounts) -> Self {
        let bound = u64::from(counts.bound.begun) << 32 | u64::from(counts.bound.ended);
        (counts.sent, counts.answers, counts.bad, bound)
    }
}

/// The counts of all nodes by route and group.
pub type RolloutCounts = BTreeMap<(String, TrackGroup), TrackCounts>;
