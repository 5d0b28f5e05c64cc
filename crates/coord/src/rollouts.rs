//! Roll-outs of versions as each node knows them: the operator's orders, their states, and the share of
//! requests that the holder of the duties grants to a target version.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Era, FencingNumber, ServiceName, Stamp};
use serde::{Deserialize, Serialize};

/// How long a grant is valid: three hops of digests, one of which may be lost. A node that hears of nothing
/// for so long sends no more requests to the target version.
const GRANT_TTL: Duration = Duration::from_millis(2_000);
/// How long after a restore of the key-value service a missing order may be one that is not written again yet.
const RESTORED_ORDERS_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of earlier orders that are remembered for each service.
const MAX_EARLIER_ORDERS: usize = 8;

/// A `RolloutOrder` is what an operator wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The version that is to serve.
    pub target: String,
    /// The time within which it is to serve.
    pub duration: Duration,
}

/// An `OrderId` identifies a written order; a later one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderId {
    /// The era of the key-value service in which it was written.
    pub era: Option<Era>,
    /// The version of its key.
    pub version: u64,
}

/// A `RolloutPhase` is the state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// It is not decided.
    InProgress,
    /// The target version serves all requests.
    Completed,
    /// The version before serves all requests.
    Reverted,
}

/// A `Grant` is the share of the requests that the target version may get for some time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The fencing number of the holder that grants it.
    pub fence: FencingNumber,
    /// The number of the grant; it rises while the holder stays the same.
    pub number: u64,
    /// The share, in thousandths.
    pub per_mille: u16,
    /// Whether requests that can't be resumed elsewhere go to the target version.
    pub drains: bool,
}

/// A `RolloutReport` is a roll-out as one node reports it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    pub service: ServiceName,
    /// The target version.
    pub target: String,
    /// The order.
    pub order: OrderId,
    /// The state.
    pub phase: RolloutPhase,
    /// The time since the order, in milliseconds.
    pub age_ms: u64,
    /// The time within which it is due, in milliseconds.
    pub duration_ms: u64,
    /// The newest grant and its age in milliseconds.
    pub grant: Option<(Grant, u64)>,
}

/// A `Rollout` is the newest roll-out of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The target version.
    pub target: String,
    /// The order.
    pub order: OrderId,
    /// The time within which it is due.
    pub duration: Duration,
    /// When it was ordered, as far as this node knows.
    pub ordered_at: Stamp,
    /// The state.
    pub phase: RolloutPhase,
    /// The versions that the target version has replaced.
    pub replaced: Vec<String>,
    grant: Option<(Grant, Stamp)>,
    earlier: Vec<(String, u64)>,
}

/// `Rollouts` are the newest roll-outs of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    services: BTreeMap<ServiceName, Rollout>,
}

impl Rollout {
    /// Returns the grant if it is valid.
    pub fn grant(&self, now: Stamp) -> Option<Grant> {
        let (grant, at) = self.grant?;
        let valid = self.phase == RolloutPhase::InProgress && now.since(at) < GRANT_TTL;
        valid.then_some(grant)
    }

    /// Notes a grant that was given at `at`; an older one than the known one changes nothing.
    pub fn note_grant(&mut self, at: Stamp, grant: Grant) {
        let order = |grant: &Grant| (grant.fence, grant.number);
        if self.grant.is_none_or(|(known, _)| order(&known) < order(&grant)) {
            self.grant = Some((grant, at));
        }
    }

    /// Notes a final state; none is ever replaced by another.
    pub fn end(&mut self, phase: RolloutPhase) -> bool {
        if self.phase != RolloutPhase::InProgress || phase == RolloutPhase::InProgress {
            return false;
        }
        self.phase = phase;
        self.grant = None;
        true
    }
}

impl Rollouts {
    /// Returns the roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.services.get(service)
    }

    /// Returns a mutable reference to the roll-out of a service.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.services.get_mut(service)
    }

    /// Returns all roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.services.iter()
    }

    /// Returns the roll-outs that are in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = (&ServiceName, &Rollout)> {
        self.services.iter().filter(|(_, rollout)| rollout.phase == RolloutPhase::InProgress)
    }

    /// Returns whether none is known.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Notes an order that the key-value service holds; returns whether it is a new one.
    pub fn note_order(
        &mut self,
        now: Stamp,
        service: &ServiceName,
        id: OrderId,
        order: &RolloutOrder,
    ) -> bool {
        let new = Rollout {
            target: order.target.clone(),
            order: id,
            duration: order.duration,
            ordered_at: now,
            phase: RolloutPhase::InProgress,
            replaced: Vec::new(),
            grant: None,
            earlier: Vec::new(),
        };
        let Some(known) = self.services.get_mut(service) else {
            self.services.insert(service.clone(), new);
            return true;
        };
        if id <= known.order {
            return false;
        }
        if known.order.era < id.era {
            // A restored service holds older orders again, and operators repeat the newest one.
            if known.earlier.contains(&(order.target.clone(), id.version)) {
                return false;
            }
            if known.target == order.target {
                known.order = id;
                return false;
            }
        }
        known.replace(new);
        true
    }

    /// Returns the services whose roll-outs are withdrawn, if a list of orders that was requested at
    /// `requested_at` holds only those for `listed`.
    pub fn withdrawn(
        &self,
        requested_at: Stamp,
        listed: &[ServiceName],
        restored_at: Option<Stamp>,
    ) -> Vec<ServiceName> {
        // A restored service may lack an order until operators write it again.
        if restored_at.is_some_and(|at| requested_at.since(at) < RESTORED_ORDERS_TIMEOUT) {
            return Vec::new();
        }
        let mut withdrawn = Vec::new();
        for (service, rollout) in self.in_progress() {
            // An order of which another node has told may be newer than the list.
            if !listed.contains(service) && rollout.ordered_at < requested_at {
                withdrawn.push(service.clone());
            }
        }
        withdrawn
    }

    /// Returns whether the removal of an order, with the version of its key, withdraws the roll-out of a
    /// service.
    pub fn is_withdrawn_by(&self, service: &ServiceName, removal: OrderId) -> bool {
        self.services.get(service).is_some_and(|rollout| rollout.order < removal)
    }

    /// Returns the reports for other nodes.
    pub fn reports(&self, now: Stamp) -> Vec<RolloutReport> {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let mut reports = Vec::new();
        for (service, rollout) in &self.services {
            let grant = rollout.grant.filter(|(_, at)| now.since(*at) < GRANT_TTL);
            reports.push(RolloutReport {
                service: service.clone(),
                target: rollout.target.clone(),
                order: rollout.order,
                phase: rollout.phase,
                age_ms: millis(now.since(rollout.ordered_at)),
                duration_ms: millis(rollout.duration),
                grant: grant.map(|(grant, at)| (grant, millis(now.since(at)))),
            });
        }
        reports
    }

    /// Notes a report of another node; returns whether the state of the roll-out has changed.
    pub fn receive(&mut self, now: Stamp, report: RolloutReport) -> bool {
        let ordered_at = now - Duration::from_millis(report.age_ms);
        let order = RolloutOrder {
            target: report.target.clone(),
            duration: Duration::from_millis(report.duration_ms),
        };
        let is_new = self.note_order(ordered_at, &report.service, report.order, &order);
        let Some(known) = self.services.get_mut(&report.service) else { return false };
        let is_same = known.target == report.target
            && (known.order == report.order || known.order.era != report.order.era);
        if !is_same {
            return is_new;
        }
        known.ordered_at = known.ordered_at.min(ordered_at);
        if let Some((grant, age_ms)) = report.grant
            && report.order == known.order
        {
            known.note_grant(now - Duration::from_millis(age_ms), grant);
        }
        known.end(report.phase) || is_new
    }
}

impl Rollout {
    fn replace(&mut self, new: Rollout) {
        let mut earlier = std::mem::take(&mut self.earlier);
        earlier.push((std::mem::take(&mut self.target), self.order.version));
        let excess = earlier.len().saturating_sub(MAX_EARLIER_ORDERS);
        earlier.drain(..excess);
        *self = Rollout { earlier, ..new };
    }
}
