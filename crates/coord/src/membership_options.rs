//! Intervals, timeouts and limits of membership.

use std::time::Duration;

/// `MembershipOptions` set the intervals, timeouts and limits of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// The minimum time between two rounds, used in small domains.
    pub min_period: Duration,
    /// The maximum time between two rounds, used in large domains.
    pub max_period: Duration,
    /// What each member of a domain adds to the time between two rounds.
    pub period_per_member: Duration,
    /// The minimum time between two messages of a relay to another domain.
    pub min_remote_period: Duration,
    /// The maximum time between two messages of a relay to another domain.
    pub max_remote_period: Duration,
    /// What each domain adds to the time between two messages of a relay to another one.
    pub remote_period_per_zone: Duration,
    /// The number of members of the domain that receive the messages of one round.
    pub fanout: usize,
    /// The number of members of the domain that receive at once that a node is leaving.
    pub urgent_fanout: usize,
    /// The number of nodes of a domain that exchange summaries with other domains.
    pub relays_per_zone: usize,
    /// The number of rounds without a heartbeat after which a member is suspected.
    pub suspect_rounds: u32,
    /// The number of rounds without a heartbeat after which a member is removed.
    pub dead_rounds: u32,
    /// The number of rounds in which a changed record is sent.
    pub update_rounds: u32,
    /// How long a removed member's record is kept, so that an older update can't bring it back.
    pub tombstone_retention: Duration,
    /// The upper bound of the nodes that form one domain; with more, each availability zone is one.
    pub max_flat_nodes: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            min_period: Duration::from_millis(250),
            max_period: Duration::from_secs(1),
            period_per_member: Duration::from_millis(50),
            min_remote_period: Duration::from_millis(400),
            max_remote_period: Duration::from_secs(2),
            remote_period_per_zone: Duration::from_millis(150),
            fanout: 2,
            urgent_fanout: 7,
            relays_per_zone: 2,
            suspect_rounds: 8,
            dead_rounds: 14,
            update_rounds: 5,
            tombstone_retention: Duration::from_secs(7_200),
            max_flat_nodes: 48,
        }
    }
}

impl MembershipOptions {
    /// Returns the time between two rounds in a domain of `members`.
    pub fn period(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let grown = self.period_per_member.saturating_mul(members);
        grown.clamp(self.min_period, self.max_period)
    }

    /// Returns the time between two messages of a relay to another domain if there are `zones`.
    pub fn remote_period(&self, zones: usize) -> Duration {
        let zones = u32::try_from(zones).unwrap_or(u32::MAX);
        let grown = self.remote_period_per_zone.saturating_mul(zones);
        grown.clamp(self.min_remote_period, self.max_remote_period)
    }

    /// Returns whether all nodes form one domain at any number of nodes.
    pub fn always_flat(&self) -> bool {
        self.max_flat_nodes == usize::MAX
    }
}
