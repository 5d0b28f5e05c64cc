//! The pace of membership.

use std::time::Duration;

/// `MembershipOptions` set the pace of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// The shortest time between two rounds, used in small domains.
    pub shortest_period: Duration,
    /// The longest time between two rounds, used in large domains.
    pub longest_period: Duration,
    /// What each member of a domain adds to the time between two rounds.
    pub period_per_member: Duration,
    /// The shortest time between two messages of a relay to another domain.
    pub far_shortest: Duration,
    /// The longest time between two messages of a relay to another domain.
    pub far_longest: Duration,
    /// What each domain adds to the time between two messages of a relay to another one.
    pub far_per_zone: Duration,
    /// The members of the domain that a round is sent to.
    pub fanout: usize,
    /// The members of the domain that a leaving node is told to at once.
    pub urgent_fanout: usize,
    /// The nodes of a domain that exchange summaries with other domains.
    pub relays: usize,
    /// The rounds without a heartbeat after which a member is suspected.
    pub suspect_rounds: u32,
    /// The rounds without a heartbeat after which a member is removed.
    pub dead_rounds: u32,
    /// The rounds in which a changed record is passed on.
    pub repeats: u32,
    /// How long a removed member's record is kept, so that older news can't bring it back.
    pub forget: Duration,
    /// The most nodes that form one domain; above it each availability zone is one.
    pub max_flat_nodes: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            shortest_period: Duration::from_millis(250),
            longest_period: Duration::from_secs(1),
            period_per_member: Duration::from_millis(50),
            far_shortest: Duration::from_millis(400),
            far_longest: Duration::from_secs(2),
            far_per_zone: Duration::from_millis(150),
            fanout: 2,
            urgent_fanout: 7,
            relays: 2,
            suspect_rounds: 8,
            dead_rounds: 14,
            repeats: 5,
            forget: Duration::from_secs(7_200),
            max_flat_nodes: 48,
        }
    }
}

impl MembershipOptions {
    /// Returns the time between two rounds in a domain of `members`.
    pub fn period(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let grown = self.period_per_member.saturating_mul(members);
        grown.clamp(self.shortest_period, self.longest_period)
    }

    /// Returns the time between two messages of a relay to another of `zones` domains.
    pub fn far_period(&self, zones: usize) -> Duration {
        let zones = u32::try_from(zones).unwrap_or(u32::MAX);
        let grown = self.far_per_zone.saturating_mul(zones);
        grown.clamp(self.far_shortest, self.far_longest)
    }

    /// Returns whether all nodes form one domain, whatever their number.
    pub fn always_flat(&self) -> bool {
        self.max_flat_nodes == usize::MAX
    }
}
