//! A team's limit over all nodes, held by each node from what the others told it.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};

use crate::decaying_sum::DecayingSum;

/// The part of the burst that is enough for a request larger than the burst.
///
/// A request larger than the bucket would otherwise never be taken; 0.9 leaves room for what other
/// nodes take in the moment in which the bucket looks full.
const OVERSIZED_SHARE: f64 = 0.9;
/// The part of what a window may hold at most that nodes plan with; the rest is for what they take
/// between two exchanges. Teams that send four times their limit to five nodes, with restarts, stay
/// 5 in 100 below what a window may hold.
const PLANNED_SHARE: f64 = 0.88;
/// The time after which other nodes have heard what a node took: an exchange of 250 ms, and half as
/// much on its way.
const TOLD_AFTER: Duration = Duration::from_millis(370);
/// The time over which what a team asks for is averaged.
const ASKED_OVER: Duration = Duration::from_secs(1);
/// The part of the limit that is divided evenly, for nodes that a team begins to ask; the rest goes by
/// what nodes are asked for.
const EVEN_SHARE: f64 = 0.1;
/// The part of the spare of a window that may be taken before nodes hear of each other.
const SPARE_SHARE: f64 = 0.3;
/// What the nodes' parts make together, of the limit: what nodes tell each other keeps to the limit, and
/// parts alone would leave some of it unused.
const PARTS: f64 = 1.15;
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
    /// Returns what nodes let a team take, given the slack that its operators allow.
    ///
    /// Nodes know each other's takings a moment late, so a window holds more than they mean it to. What
    /// they leave free for that is refused to the team below its limit, so it is as little as will do.
    pub fn with_slack(self, slack: QuotaSlack) -> QuotaPlan {
        let window = slack.window.as_secs_f64();
        if self.per_second <= 0.0 || window <= 0.0 {
            return self.into();
        }
        let of_window = self.per_second * window + self.burst;
        let most = of_window * (1.0 + slack.overage) + slack.headroom;
        let per_second = (most * PLANNED_SHARE - self.burst) / window;
        let per_second = per_second.max(self.per_second);
        let spare = (most - per_second * window - self.burst).max(0.0);
        QuotaPlan { limit: QuotaLimit { per_second, ..self }, spare }
    }

    fn part(self, share: f64) -> QuotaLimit {
        QuotaLimit { per_second: self.per_second * share * PARTS, burst: self.burst * share }
    }
}

/// A `QuotaPlan` is what nodes let a team take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaPlan {
    /// The limit that they hold it to.
    pub limit: QuotaLimit,
    /// What a window may hold besides.
    pub spare: f64,
}

impl From<QuotaLimit> for QuotaPlan {
    fn from(limit: QuotaLimit) -> QuotaPlan {
        QuotaPlan { limit, spare: 0.0 }
    }
}

/// A `QuotaReport` is what a node tells others of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaReport {
    /// What the team took there since the node's start.
    pub total: f64,
    /// What the team asks for there in a second.
    pub demand: f64,
}

/// A `Quota` is one team's bucket at one node.
///
/// What other nodes took is subtracted as they tell it. A node that is not heard may go on taking
/// its equal part; so much is held back for it, so that the sum keeps to the limit also while
/// nodes cannot hear each other.
#[derive(Clone, Debug)]
pub struct Quota {
    level: Option<f64>,
    filled_at: Stamp,
    own: f64,
    peers: BTreeMap<Incarnation, Heard>,
    asked: DecayingSum,
    reserve: f64,
    /// What was taken at other nodes since they were first heard, by who told it.
    taken: TakenElsewhere,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    told: QuotaReport,
    at: Stamp,
    /// What of it was subtracted here.
    taken: f64,
    teller: Teller,
}

#[derive(Clone, Copy, Debug, Default)]
struct TakenElsewhere {
    by_nodes: f64,
    by_sums: f64,
}

/// Who tells what a team took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Teller {
    Node,
    /// A relay, for so many nodes.
    Sum(u32),
}

impl Teller {
    fn nodes(self) -> usize {
        match self {
            Teller::Node => 1,
            Teller::Sum(nodes) => nodes as usize,
        }
    }
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            level: None,
            filled_at: Stamp::default(),
            own: 0.0,
            peers: BTreeMap::new(),
            asked: DecayingSum::new(ASKED_OVER),
            reserve: 0.0,
            taken: TakenElsewhere::default(),
        }
    }
}

impl Quota {
    /// Returns the bucket of a node that started at `now` while the limit was already in use.
    ///
    /// It is empty: what was taken before is not known. Full buckets would let a team take its burst
    /// once more at each node with every restart, and all nodes may restart at once.
    pub fn empty(now: Stamp) -> Quota {
        Quota { level: Some(0.0), filled_at: now, ..Quota::default() }
    }

    /// Takes `amount`, or tells when to come back.
    ///
    /// `nodes` counts all nodes, this one included.
    pub fn take(
        &mut self,
        now: Stamp,
        plan: impl Into<QuotaPlan>,
        nodes: usize,
        amount: f64,
    ) -> Result<(), Duration> {
        let QuotaPlan { limit, spare } = plan.into();
        if limit.per_second <= 0.0 {
            self.level = None;
            self.own += amount;
            return Ok(());
        }
        self.asked.add(now, amount);
        let demand = self.demand(now, nodes);
        self.refill(now, limit, nodes, demand.share);
        let level = self.level.unwrap_or(limit.burst);
        wait_for(amount, level, limit)?;
        // All nodes see the bucket fill up at the same moment. Where a team asks for more than it holds
        // before they hear of each other, each keeps to its part: together they would take several
        // buckets, and a window would hold more than it may.
        let asked_unheard = demand.per_second * TOLD_AFTER.as_secs_f64();
        if level + spare * SPARE_SHARE < asked_unheard {
            wait_for(amount, self.reserve, limit.part(demand.share))?;
        }
        self.reserve = (self.reserve - amount).max(-amount);
        self.level = Some(level - amount);
        self.own += amount;
        Ok(())
    }

    /// Gives back what a request took that did not run.
    pub fn refund(&mut self, amount: f64) {
        self.own -= amount;
        self.level = self.level.map(|level| level + amount);
        self.reserve += amount;
    }

    /// Returns what this node took since its start, to be told to others.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Returns what this node alone took, to be told to others.
    pub fn report(&self, now: Stamp) -> QuotaReport {
        QuotaReport { total: self.own, demand: self.asked.rate(now) }
    }

    /// Returns what was taken here and at the nodes that tell this one themselves, to be told to relays of
    /// other zones.
    pub fn zone_report(&self, now: Stamp) -> QuotaReport {
        let asked = self.asked.rate(now) + self.heard_asked(now, |_, heard| heard.is_node());
        QuotaReport { total: self.own + self.taken.by_nodes, demand: asked }
    }

    /// Returns what was taken at all nodes but `asker`, to be told to that one.
    pub fn report_excluding(&self, now: Stamp, asker: Incarnation) -> QuotaReport {
        let of_asker = self.peers.get(&asker).map_or(0.0, |heard| heard.taken);
        let taken = self.taken.by_nodes + self.taken.by_sums - of_asker;
        let asked = self.asked.rate(now) + self.heard_asked(now, |peer, _| peer != asker);
        QuotaReport { total: self.own + taken, demand: asked }
    }

    /// Notes what another node took since its start.
    pub fn receive(&mut self, now: Stamp, peer: Incarnation, told: QuotaReport) {
        self.note(now, peer, told, Teller::Node);
    }

    /// Notes what `nodes` nodes took, as the relay `peer` sums it up.
    pub fn receive_sum(&mut self, now: Stamp, peer: Incarnation, told: QuotaReport, nodes: u32) {
        self.note(now, peer, told, Teller::Sum(nodes));
    }

    fn note(&mut self, now: Stamp, peer: Incarnation, told: QuotaReport, teller: Teller) {
        // What a node took before this one knew it has been filled up again or was counted by
        // the burst that this node did not take at its start.
        let known =
            self.peers.get(&peer).filter(|known| known.is_node() == (teller == Teller::Node));
        let before = known.map_or(0.0, |known| known.taken);
        let taken = known.map_or(0.0, |known| told.total - known.told.total);
        self.peers.insert(peer, Heard { told, at: now, taken: before + taken, teller });
        match teller {
            Teller::Node => self.taken.by_nodes += taken,
            Teller::Sum(_) => self.taken.by_sums += taken,
        }
        self.level = self.level.map(|level| level - taken);
    }

    /// Drops what is known of nodes that are gone.
    pub fn retain(&mut self, mut alive: impl FnMut(Incarnation) -> bool) {
        self.peers.retain(|peer, _| alive(*peer));
    }

    fn demand(&self, now: Stamp, nodes: usize) -> Demand {
        let own = self.asked.rate(now);
        let others = self.heard_asked(now, |_, _| true);
        let even = 1.0 / nodes.max(1) as f64;
        let asked = if own <= 0.0 { 0.0 } else { own / (own + others) };
        let share = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * asked;
        Demand { per_second: own + others, share }
    }

    fn heard_asked(&self, now: Stamp, counts: impl Fn(Incarnation, &Heard) -> bool) -> f64 {
        let mut asked = 0.0;
        for (peer, heard) in &self.peers {
            if heard.is_fresh(now) && counts(*peer, heard) {
                asked += heard.told.demand;
            }
        }
        asked
    }

    fn refill(&mut self, now: Stamp, limit: QuotaLimit, nodes: usize, share: f64) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let part = limit.part(share);
        let Some(level) = self.level else {
            self.level = Some(limit.burst);
            self.reserve = part.burst;
            return;
        };
        let heard = self.peers.values().filter(|heard| heard.is_fresh(now));
        let heard: usize = heard.map(|heard| heard.teller.nodes()).sum();
        let nodes = nodes.max(1);
        let silent = (nodes - 1).saturating_sub(heard);
        let counted = 1.0 - silent as f64 / nodes as f64;
        let passed = passed * counted;
        // Nodes that don't hear each other have a bucket on each side; together they hold one burst.
        self.level = Some((level + passed * limit.per_second).min(limit.burst * counted));
        self.reserve = (self.reserve + passed * part.per_second).min(part.burst);
    }
}

impl Heard {
    fn is_node(&self) -> bool {
        self.teller == Teller::Node
    }

    fn is_fresh(&self, now: Stamp) -> bool {
        now.since(self.at) < SILENT_AFTER
    }
}

// Tells when a bucket that is at `level` holds enough for `amount`, if it does not.
fn wait_for(amount: f64, level: f64, limit: QuotaLimit) -> Result<(), Duration> {
    let needed = amount.min(limit.burst * OVERSIZED_SHARE);
    if needed <= level {
        return Ok(());
    }
    Err(Duration::from_secs_f64((needed - level) / limit.per_second))
}

/// What a team asks for in a second at all nodes that are heard, and this node's share of the limit.
#[derive(Clone, Copy, Debug)]
struct Demand {
    per_second: f64,
    share: f64,
}
