//! Limits of a team over all nodes, enforced by each node from the reports of the others.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp, bounded_seconds};

use crate::decaying_sum::DecayingSum;
pub use crate::quota_limit::{QuotaLimit, QuotaPlan, QuotaReport, QuotaSlack};

/// The share of the burst that is enough to admit a request larger than the burst.
///
/// A request larger than the bucket would otherwise never be admitted. The rest allows for what
/// other nodes take while the bucket looks full.
const OVERSIZED_SHARE: f64 = 0.9;
/// The time after which other nodes have received what a node took: a gossip interval of 250 ms,
/// plus half as much for the transfer.
const REPORT_DELAY: Duration = Duration::from_millis(370);
/// The time constant of the average demand of a team.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The share of the limit that is divided evenly, for nodes that a team starts to use; the rest is
/// divided in proportion to the demand at the nodes.
const EVEN_SHARE: f64 = 0.1;
/// The share of the spare usage of a window that may be taken before the other nodes receive
/// reports of it.
const SPARE_SHARE: f64 = 0.3;
/// The age at which the last report of a node expires; four gossip exchanges of 250 ms may be lost
/// or late.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time after the start of an account in which the first report of a peer counts as usage.
/// Later first reports come from peers whose usage was already counted, by way of another relay.
/// With 1 s, the reports of relays that are replaced after a partition are missed.
const FIRST_REPORT_PERIOD: Duration = Duration::from_secs(2);
/// The demand relative to the limit above which the first reports are subtracted. Below it the parts of the nodes
/// keep a window within the limit, and a team that stays below its limit would be refused more often.
const FIRST_REPORT_DEMAND: f64 = 2.5;
/// The time after a restart in which a node limits its share, since it may not have received the
/// demand at other nodes. Reports pass three hops of up to 260 ms through relays.
const UNINFORMED_PERIOD: Duration = Duration::from_millis(800);
/// The maximum share of such a node, relative to an even one. With 1, a team below its limit is
/// refused more often after a restart.
const UNINFORMED_SHARE: f64 = 3.0;

/// A `Quota` is the token bucket of one team at one node.
///
/// The usage at other nodes is subtracted when their reports are received. A silent node may still
/// admit its equal part, which is withheld here, so that the sum stays within the limit also while
/// nodes can't communicate.
#[derive(Clone, Debug)]
pub struct Quota {
    level: Option<f64>,
    refilled_at: Stamp,
    local_total: f64,
    peers: BTreeMap<Incarnation, PeerUsage>,
    demand: DecayingSum,
    /// The token bucket of this node's part of the limit.
    part_level: f64,
    /// What was taken at other nodes since their first report, by the kind of reporter.
    remote_usage: RemoteUsage,
    /// The time of the first request or the first report of usage.
    started_at: Option<Stamp>,
    /// The usage in first reports that is not yet subtracted.
    pending_usage: f64,
    /// What the bucket has lost to the parts of nodes that are not heard, less the usage in their first reports.
    withheld: f64,
    /// When the node started, if the limit was already in use then.
    restarted_at: Option<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    report: QuotaReport,
    received_at: Stamp,
    /// The amount that was subtracted here.
    subtracted: f64,
    reporter: Reporter,
}

#[derive(Clone, Copy, Debug, Default)]
struct RemoteUsage {
    from_nodes: f64,
    from_relays: f64,
}

/// The kind of node that reports usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reporter {
    Node,
    /// A relay, with the number of nodes that its report sums up.
    Relay(u32),
}

impl Reporter {
    fn nodes(self) -> usize {
        match self {
            Reporter::Node => 1,
            Reporter::Relay(nodes) => nodes as usize,
        }
    }
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            level: None,
            refilled_at: Stamp::default(),
            local_total: 0.0,
            peers: BTreeMap::new(),
            demand: DecayingSum::new(DEMAND_TIME_CONSTANT),
            part_level: 0.0,
            remote_usage: RemoteUsage::default(),
            started_at: None,
            pending_usage: 0.0,
            withheld: 0.0,
            restarted_at: None,
        }
    }
}

impl Quota {
    /// Returns an empty bucket, for a node that started at `now` while the limit was already in
    /// use.
    ///
    /// The earlier usage is unknown. With a full bucket, a team could take its burst again at each
    /// node with every restart, and all nodes may restart at once.
    pub fn empty(now: Stamp) -> Quota {
        Quota { level: Some(0.0), refilled_at: now, restarted_at: Some(now), ..Quota::default() }
    }

    /// Takes `amount`, or returns the retry delay as an error.
    ///
    /// `nodes` is the number of all nodes, including this one.
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
            self.local_total += amount;
            return Ok(());
        }
        self.started_at.get_or_insert(now);
        self.demand.add(now, amount);
        let team_demand = self.team_demand(now, nodes);
        self.refill(now, limit, nodes, team_demand.share);
        self.subtract_first_reports(now, limit, team_demand.per_second);
        let level = self.level.unwrap_or(limit.burst);
        check_level(amount, level, limit)?;
        // All nodes see the bucket refill at the same moment. If a team requests more than the
        // bucket holds before reports are received, each node is limited to its part. Otherwise the
        // nodes would together take the bucket several times and exceed the limit of a window.
        if self.is_restricted(now, limit, spare, team_demand) {
            check_level(amount, self.part_level, limit.part(team_demand.share))?;
        }
        self.part_level = (self.part_level - amount).max(-amount);
        self.level = Some(level - amount);
        self.local_total += amount;
        Ok(())
    }

    /// Returns an amount to the bucket, for a request that did not run.
    pub fn refund(&mut self, amount: f64) {
        self.local_total -= amount;
        self.level = self.level.map(|level| level + amount);
        self.part_level += amount;
    }

    /// Returns the amount taken at this node since its start.
    pub fn local_total(&self) -> f64 {
        self.local_total
    }

    /// Returns this node's share of the limit, if the team is restricted to it, as of the team's last request.
    ///
    /// It is restricted while it requests more at all nodes than the bucket holds before reports are received.
    pub fn restricted_share(
        &self,
        now: Stamp,
        plan: impl Into<QuotaPlan>,
        nodes: usize,
    ) -> Option<f64> {
        let QuotaPlan { limit, spare } = plan.into();
        if limit.per_second <= 0.0 {
            return None;
        }
        let demand = self.team_demand(now, nodes);
        self.is_restricted(now, limit, spare, demand).then_some(demand.share)
    }

    fn is_restricted(&self, now: Stamp, limit: QuotaLimit, spare: f64, demand: TeamDemand) -> bool {
        let level = self.level.unwrap_or(limit.burst);
        let unreported_demand = demand.per_second * REPORT_DELAY.as_secs_f64();
        level + spare * SPARE_SHARE < unreported_demand || self.is_uninformed(now)
    }

    /// Returns the report of this node's own usage.
    pub fn report(&self, now: Stamp) -> QuotaReport {
        QuotaReport { total: self.local_total, demand: self.demand.rate(now) }
    }

    /// Returns the report of the usage here and at the nodes that report directly to this one, for
    /// relays of other zones.
    pub fn zone_report(&self, now: Stamp) -> QuotaReport {
        let demand = self.demand.rate(now) + self.peer_demand(now, |_, usage| usage.is_node());
        QuotaReport { total: self.local_total + self.remote_usage.from_nodes, demand }
    }

    /// Returns the report of the usage at all nodes except `receiver`, for that node.
    pub fn report_excluding(&self, now: Stamp, receiver: Incarnation) -> QuotaReport {
        let from_receiver = self.peers.get(&receiver).map_or(0.0, |usage| usage.subtracted);
        let remote = self.remote_usage.from_nodes + self.remote_usage.from_relays - from_receiver;
        let demand = self.demand.rate(now) + self.peer_demand(now, |peer, _| peer != receiver);
        QuotaReport { total: self.local_total + remote, demand }
    }

    /// Receives the report of another node.
    pub fn receive(&mut self, now: Stamp, peer: Incarnation, report: QuotaReport) {
        self.update(now, peer, report, Reporter::Node);
    }

    /// Receives the report of the relay `peer`, which sums up the usage of `nodes` nodes.
    pub fn receive_sum(&mut self, now: Stamp, peer: Incarnation, report: QuotaReport, nodes: u32) {
        self.update(now, peer, report, Reporter::Relay(nodes));
    }

    fn update(&mut self, now: Stamp, peer: Incarnation, report: QuotaReport, reporter: Reporter) {
        let known = self.peers.get(&peer).copied();
        let known = known.filter(|known| known.is_node() == (reporter == Reporter::Node));
        let before = known.map_or(0.0, |known| known.subtracted);
        let taken = match known {
            Some(known) => report.total - known.report.total,
            None => self.first_usage(now, report),
        };
        self.peers.insert(
            peer,
            PeerUsage { report, received_at: now, subtracted: before + taken, reporter },
        );
        match reporter {
            Reporter::Node => self.remote_usage.from_nodes += taken,
            Reporter::Relay(_) => self.remote_usage.from_relays += taken,
        }
        if known.is_some() {
            self.level = self.level.map(|level| level - taken);
        } else if self.restarted_at.is_none() {
            // The empty bucket of a restarted node stands for this usage; subtracted as well, it
            // leaves less than 0.8 of a window to a team at four times its limit.
            let covered = taken.min(self.withheld);
            self.withheld -= covered;
            self.pending_usage += taken - covered;
        }
    }

    // Returns the part of the first report of a peer that counts as usage. What the peer took
    // earlier has been refilled already, or is covered by the burst that this node did not grant
    // at its start.
    fn first_usage(&mut self, now: Stamp, report: QuotaReport) -> f64 {
        if report.total <= 0.0 || !self.is_starting(now) {
            return 0.0;
        }
        self.started_at.get_or_insert(now);
        report.total.min(report.demand * DEMAND_TIME_CONSTANT.as_secs_f64())
    }

    fn is_starting(&self, now: Stamp) -> bool {
        self.started_at.is_none_or(|started_at| now.since(started_at) < FIRST_REPORT_PERIOD)
    }

    // Returns whether this node restarted so recently that it may not have received what the team requests at other
    // nodes. If all nodes restart, each would otherwise take its own demand for all of the team's.
    fn is_uninformed(&self, now: Stamp) -> bool {
        self.restarted_at.is_some_and(|restarted_at| now.since(restarted_at) < UNINFORMED_PERIOD)
    }

    // Subtracts the usage in first reports while the team requests far more than its limit.
    // Otherwise what all nodes took before they knew of each other would never be subtracted.
    fn subtract_first_reports(&mut self, now: Stamp, limit: QuotaLimit, demand: f64) {
        if FIRST_REPORT_DEMAND * limit.per_second < demand {
            self.level = self.level.map(|level| level - self.pending_usage);
            self.pending_usage = 0.0;
        } else if !self.is_starting(now) {
            self.pending_usage = 0.0;
        }
    }

    /// Removes the peers for which `is_alive` returns false.
    pub fn retain(&mut self, mut is_alive: impl FnMut(Incarnation) -> bool) {
        self.peers.retain(|peer, _| is_alive(*peer));
    }

    fn team_demand(&self, now: Stamp, nodes: usize) -> TeamDemand {
        let own = self.demand.rate(now);
        let others = self.peer_demand(now, |_, _| true);
        let even = 1.0 / nodes.max(1) as f64;
        let own_share = if own <= 0.0 { 0.0 } else { own / (own + others) };
        let mut share = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * own_share;
        if self.is_uninformed(now) {
            share = share.min(UNINFORMED_SHARE * even);
        }
        TeamDemand { per_second: own + others, share }
    }

    fn peer_demand(&self, now: Stamp, is_counted: impl Fn(Incarnation, &PeerUsage) -> bool) -> f64 {
        let mut demand = 0.0;
        for (peer, usage) in &self.peers {
            if usage.is_fresh(now) && is_counted(*peer, usage) {
                demand += usage.report.demand;
            }
        }
        demand
    }

    fn refill(&mut self, now: Stamp, limit: QuotaLimit, nodes: usize, share: f64) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let part = limit.part(share);
        let Some(level) = self.level else {
            self.level = Some(limit.burst);
            self.part_level = part.burst;
            return;
        };
        let fresh = self.peers.values().filter(|usage| usage.is_fresh(now));
        let fresh: usize = fresh.map(|usage| usage.reporter.nodes()).sum();
        let nodes = nodes.max(1);
        let silent = (nodes - 1).saturating_sub(fresh);
        let active_share = 1.0 - silent as f64 / nodes as f64;
        let elapsed = elapsed * active_share;
        // Each side of a network partition has its own bucket; together the buckets hold one burst.
        let full = (level + elapsed * limit.per_second).min(limit.burst);
        let level = full.min(limit.burst * active_share);
        self.withheld += full - level;
        self.level = Some(level);
        self.part_level = (self.part_level + elapsed * part.per_second).min(part.burst);
    }
}

impl PeerUsage {
    fn is_node(&self) -> bool {
        self.reporter == Reporter::Node
    }

    fn is_fresh(&self, now: Stamp) -> bool {
        now.since(self.received_at) < REPORT_TIMEOUT
    }
}

// Checks that a bucket at `level` holds enough for `amount`; returns the time until it does as an
// error.
fn check_level(amount: f64, level: f64, limit: QuotaLimit) -> Result<(), Duration> {
    let needed = amount.min(limit.burst * OVERSIZED_SHARE);
    if needed <= level {
        return Ok(());
    }
    Err(bounded_seconds((needed - level) / limit.per_second))
}

/// The demand of a team per second at all nodes with fresh reports, and this node's share of the
/// limit.
#[derive(Clone, Copy, Debug)]
struct TeamDemand {
    per_second: f64,
    share: f64,
}
