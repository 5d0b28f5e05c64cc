//! Start-time fair queueing between teams, measured in tokens.

use std::collections::{BTreeMap, VecDeque};

use bulrushhall_core::TeamName;

use crate::admission::{AdmissionRequest, Ticket};

/// A `FairQueue` divides the service of one priority among the teams with waiting requests.
///
/// The virtual time of a team advances by the tokens of each request that it starts, divided by its
/// share. The team with the lowest virtual time is served next. A team that had no waiting requests
/// continues from the current virtual time, so that it can't accumulate service while idle and then
/// starve the others.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    teams: BTreeMap<TeamName, TeamQueue>,
    len: usize,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    tokens: u64,
    requests: VecDeque<(Ticket, AdmissionRequest)>,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the tokens of the waiting requests.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds a request at the end of its team's queue, or at the front if it was accepted before.
    pub fn push(&mut self, ticket: Ticket, req: AdmissionRequest) {
        let current = self.virtual_time;
        let team = self.teams.entry(req.team.clone()).or_default();
        if team.requests.is_empty() {
            team.virtual_time = team.virtual_time.max(current);
        }
        self.len += 1;
        self.tokens += u64::from(req.tokens);
        team.tokens += u64::from(req.tokens);
        if req.accepted {
            team.requests.push_front((ticket, req));
        } else {
            team.requests.push_back((ticket, req));
        }
    }

    /// Removes and returns the request that starts next.
    pub fn pop(&mut self, shares: &BTreeMap<TeamName, u32>) -> Option<(Ticket, AdmissionRequest)> {
        let waiting = self.teams.iter_mut().filter(|(_, team)| !team.requests.is_empty());
        let (name, team) = waiting
            .min_by(|(_, one), (_, other)| one.virtual_time.total_cmp(&other.virtual_time))?;
        let (ticket, req) = team.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(team.virtual_time);
        // A resumed request was already charged when it first started.
        if !req.accepted {
            team.virtual_time += f64::from(req.tokens) / share(shares, name);
        }
        team.tokens -= u64::from(req.tokens);
        self.tokens -= u64::from(req.tokens);
        self.len -= 1;
        Some((ticket, req))
    }

    /// Removes and returns the requests that match `is_match`, ordered by team and then by
    /// position.
    pub fn extract(
        &mut self,
        mut is_match: impl FnMut(Ticket, &AdmissionRequest) -> bool,
    ) -> Vec<(Ticket, AdmissionRequest)> {
        let mut removed = Vec::new();
        for team in self.teams.values_mut() {
            if !team.requests.iter().any(|(ticket, req)| is_match(*ticket, req)) {
                continue;
            }
            for (ticket, req) in std::mem::take(&mut team.requests) {
                if !is_match(ticket, &req) {
                    team.requests.push_back((ticket, req));
                    continue;
                }
                team.tokens -= u64::from(req.tokens);
                self.tokens -= u64::from(req.tokens);
                self.len -= 1;
                removed.push((ticket, req));
            }
        }
        removed
    }

    /// Returns the tokens that would start before a new request of `team` completes its service.
    pub fn tokens_before(
        &self,
        team: &TeamName,
        tokens: u32,
        shares: &BTreeMap<TeamName, u32>,
    ) -> f64 {
        let own = self.teams.get(team);
        let own_tokens = own.map_or(0, |own| own.tokens) as f64;
        let own_time = own.map_or(0.0, |own| own.virtual_time).max(self.virtual_time);
        let end = own_time + (own_tokens + f64::from(tokens)) / share(shares, team);
        let mut before = own_tokens;
        for (name, other) in &self.teams {
            if name == team || other.requests.is_empty() {
                continue;
            }
            let lead = (end - other.virtual_time).max(0.0) * share(shares, name);
            before += lead.min(other.tokens as f64);
        }
        before
    }
}

fn share(shares: &BTreeMap<TeamName, u32>, team: &TeamName) -> f64 {
    f64::from(shares.get(team).copied().unwrap_or(1).max(1))
}
