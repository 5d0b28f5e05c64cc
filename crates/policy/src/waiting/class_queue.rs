//! The queued requests of one urgency, with start-time fair queueing between teams.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{Stamp, TeamName};

use crate::waiting::{WaitingTicket, work_rate::WorkRate};

/// The weights of teams while capacity is short; a team without one has the weight 1.
pub type TeamWeights = BTreeMap<TeamName, f64>;

/// The lowest weight, so that a team with a weight of 0 is not starved.
const MIN_WEIGHT: f64 = 0.01;

/// A `Position` is the place of a request among those of its team; the lowest one starts first.
pub type Position = (u64, WaitingTicket);

/// A `ClassQueue` holds the requests of one urgency.
///
/// As in [`FairQueue`](crate::admission::FairQueue), the virtual time of a team advances by the work of each started request,
/// divided by the team's weight, and a team that was idle continues from the current virtual time.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    virtual_time: f64,
    teams: BTreeMap<TeamName, TeamQueue>,
    in_time: usize,
    late: usize,
    rate: WorkRate,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    work: u64,
    in_time: BTreeSet<Position>,
    late: BTreeSet<Position>,
    rate: WorkRate,
}

impl TeamQueue {
    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }
}

impl ClassQueue {
    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.in_time + self.late == 0
    }

    /// Adds a request.
    pub fn push(&mut self, now: Stamp, team: &TeamName, position: Position, work: u32) {
        if self.is_empty() {
            self.rate.note_queued(now);
        }
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            queue.rate.note_queued(now);
        }
        queue.work += u64::from(work);
        queue.in_time.insert(position);
        self.in_time += 1;
    }

    /// Moves a request behind those that can still be in time.
    pub fn note_late(&mut self, team: &TeamName, position: Position) {
        let Some(queue) = self.teams.get_mut(team) else { return };
        if queue.in_time.remove(&position) {
            queue.late.insert(position);
            self.in_time -= 1;
            self.late += 1;
        }
    }

    /// Returns the request that starts next among those that can be in time.
    pub fn first_in_time(&self) -> Option<WaitingTicket> {
        if self.in_time == 0 {
            return None;
        }
        first(
            self.teams
                .values()
                .filter_map(|queue| Some((queue.virtual_time, queue.in_time.first()?))),
        )
    }

    /// Returns the request that starts next among those that can't be in time any more.
    pub fn first_late(&self) -> Option<WaitingTicket> {
        if self.late == 0 {
            return None;
        }
        first(
            self.teams.values().filter_map(|queue| Some((queue.virtual_time, queue.late.first()?))),
        )
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, now: Stamp, team: &TeamName, position: Position, work: u32) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        if queue.in_time.remove(&position) {
            self.in_time -= 1;
        } else if queue.late.remove(&position) {
            self.late -= 1;
        } else {
            return false;
        }
        queue.work = queue.work.saturating_sub(u64::from(work));
        if queue.is_empty() {
            queue.rate.note_empty(now);
        }
        if self.is_empty() {
            self.rate.note_empty(now);
        }
        true
    }

    /// Charges the work of a started request to its team.
    pub fn charge(&mut self, now: Stamp, team: &TeamName, work: u32, weights: &TeamWeights) {
        let Some(queue) = self.teams.get_mut(team) else { return };
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += f64::from(work) / weight(weights, team);
        queue.rate.note_started(now, work);
        self.rate.note_started(now, work);
    }

    /// Returns the work that starts before a new request of a team with `work`, in tokens.
    pub fn work_before(&self, team: &TeamName, work: u32, weights: &TeamWeights) -> f64 {
        let own = self.teams.get(team);
        let own_work = own.map_or(0, |own| own.work) as f64;
        let own_time = own.map_or(0.0, |own| own.virtual_time).max(self.virtual_time);
        let end = own_time + (own_work + f64::from(work)) / weight(weights, team);
        let mut before = own_work;
        for (name, other) in &self.teams {
            if name == team || other.is_empty() {
                continue;
            }
            let lead = (end - other.virtual_time).max(0.0) * weight(weights, name);
            before += lead.min(other.work as f64);
        }
        before
    }

    /// Returns the work of a team's queued requests, in tokens.
    pub fn team_work(&self, team: &TeamName) -> f64 {
        self.teams.get(team).map_or(0.0, |queue| queue.work as f64)
    }

    /// Returns the work of a team that is started in a second while it has queued requests, if that is known.
    pub fn team_rate(&self, now: Stamp, team: &TeamName) -> Option<f64> {
        self.teams.get(team)?.rate.per_second(now)
    }

    /// Returns the work that is started in a second while requests are queued, if that is known.
    pub fn rate(&self, now: Stamp) -> Option<f64> {
        self.rate.per_second(now)
    }
}

fn first<'q>(teams: impl Iterator<Item = (f64, &'q Position)>) -> Option<WaitingTicket> {
    let (_, (_, ticket)) = teams.min_by(|(one, _), (other, _)| one.total_cmp(other))?;
    Some(*ticket)
}

fn weight(weights: &TeamWeights, team: &TeamName) -> f64 {
    weights.get(team).copied().unwrap_or(1.0).max(MIN_WEIGHT)
}
