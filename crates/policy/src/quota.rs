//! A team's limit over all nodes, held by each node from what the others told it.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};

/// The part of the burst that is enough for a request larger than the burst.
///
/// A request larger than the bucket would otherwise never be taken; 0.9 leaves room for what other
/// nodes take in the moment in which the bucket looks full.
const OVERSIZED_SHARE: f64 = 0.9;
/// The part of what a window may hold at most that nodes plan with; the rest is for what they take
/// between two exchanges. Teams that send four times their limit to five nodes, with restarts, stay
/// 5 in 100 below what a window may hold.
const PLANNED_SHARE: f64 = 0.88;
/// How long a node's last word counts: four exchanges of 250 ms may be lost or late.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// A `QuotaLimit` is what a team may take over all nodes, in the unit that it is counted in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLimit {
    /// How much comes back in a second; 0 means that there is no limit.
    pub per_second: f64,
    /// How much may be taken at once.
    pub burst: f64,
}

/// A `QuotaSlack` is by how much a limit may be exceeded over all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaSlack {
    /// The length of the sliding window in which it is judged.
    pub window: Duration,
    /// The part by which the limit of a window may be exceeded.
    pub overage: f64,
    /// What may be taken in a window besides.
    pub headroom: f64,
}

impl QuotaLimit {
    /// Returns the limit that nodes hold a team to, given the slack that its operators allow.
    ///
    /// Nodes know each other's takings a moment late, so a window holds more than they mean it to. What
    /// they leave free for that is refused to the team below its limit, so it is as little as will do.
    pub fn with_slack(self, slack: QuotaSlack) -> QuotaLimit {
        let window = slack.window.as_secs_f64();
        if self.per_second <= 0.0 || window <= 0.0 {
            return self;
        }
        let of_window = self.per_second * window + self.burst;
        let most = of_window * (1.0 + slack.overage) + slack.headroom;
        let per_second = (most * PLANNED_SHARE - self.burst) / window;
        QuotaLimit { per_second: per_second.max(self.per_second), ..self }
    }
}

/// A `Quota` is one team's bucket at one node.
///
/// What other nodes took is subtracted as they tell it. A node that is not heard may go on taking
/// its equal part; so much is held back for it, so that the sum keeps to the limit also while
/// nodes cannot hear each other.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    level: Option<f64>,
    filled_at: Stamp,
    own: f64,
    peers: BTreeMap<Incarnation, Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    total: f64,
    at: Stamp,
}

impl Quota {
    /// Returns the bucket of a node that started at `now` while the limit was already in use.
    ///
    /// It is empty: what was taken before is not known. Full buckets would let a team take its burst
    /// once more at each node with every restart, and all nodes may restart at once.
    pub fn drained(now: Stamp) -> Quota {
        Quota { level: Some(0.0), filled_at: now, ..Quota::default() }
    }

    /// Takes `amount`, or tells when to come back.
    ///
    /// `nodes` counts all nodes, this one included.
    pub fn take(
        &mut self,
        now: Stamp,
        limit: QuotaLimit,
        nodes: usize,
        amount: f64,
    ) -> Result<(), Duration> {
        self.own += amount;
        if limit.per_second <= 0.0 {
            self.level = None;
            return Ok(());
        }
        self.refill(now, limit, nodes);
        let level = self.level.unwrap_or(limit.burst);
        let needed = amount.min(limit.burst * OVERSIZED_SHARE);
        if needed <= level {
            self.level = Some(level - amount);
            return Ok(());
        }
        self.own -= amount;
        Err(Duration::from_secs_f64((needed - level) / limit.per_second))
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&mut self, amount: f64) {
        self.own -= amount;
        self.level = self.level.map(|level| level + amount);
    }

    /// Returns what this node took since its start, to be told to others.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Notes what another node took since its start.
    pub fn hear(&mut self, now: Stamp, peer: Incarnation, total: f64) {
        let known = self.peers.insert(peer, Told { total, at: now });
        // What a node took before this one knew it has been filled up again or was counted by
        // the burst that this node did not take at its start.
        let taken = known.map_or(0.0, |known| total - known.total);
        self.level = self.level.map(|level| level - taken);
    }

    /// Drops what is known of nodes that are gone.
    pub fn retain(&mut self, mut alive: impl FnMut(Incarnation) -> bool) {
        self.peers.retain(|peer, _| alive(*peer));
    }

    fn refill(&mut self, now: Stamp, limit: QuotaLimit, nodes: usize) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let Some(level) = self.level else {
            self.level = Some(limit.burst);
            return;
        };
        let heard = self.peers.values().filter(|told| now.since(told.at) < SILENT_AFTER).count();
        let nodes = nodes.max(1);
        let silent = (nodes - 1).saturating_sub(heard);
        let share = 1.0 - silent as f64 / nodes as f64;
        self.level = Some((level + passed * limit.per_second * share).min(limit.burst));
    }
}
