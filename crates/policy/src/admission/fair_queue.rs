//! Start-time fair queueing over teams, in tokens.

use std::collections::{BTreeMap, VecDeque};

use bulrushhall_core::TeamName;

use crate::admission::{AdmissionRequest, Ticket};

/// A `FairQueue` shares the service of one priority over the teams that have requests waiting.
///
/// Each team has a virtual time that grows with the tokens started for it, divided by its share.
/// The team that is furthest behind goes next. A team that had nothing waiting starts from the
/// present virtual time, so that it can't save up service and then shut the others out.
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
    entries: VecDeque<(Ticket, AdmissionRequest)>,
}

impl FairQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the tokens that wait.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Puts a request at the end of its team's queue, or at its front if it ran before.
    pub fn push(&mut self, ticket: Ticket, wait: AdmissionRequest) {
        let now = self.virtual_time;
        let team = self.teams.entry(wait.team.clone()).or_default();
        if team.entries.is_empty() {
            team.virtual_time = team.virtual_time.max(now);
        }
        self.len += 1;
        self.tokens += u64::from(wait.tokens);
        team.tokens += u64::from(wait.tokens);
        if wait.accepted {
            team.entries.push_front((ticket, wait));
        } else {
            team.entries.push_back((ticket, wait));
        }
    }

    /// Takes out the request that goes next.
    pub fn pop(&mut self, shares: &BTreeMap<TeamName, u32>) -> Option<(Ticket, AdmissionRequest)> {
        let waiting = self.teams.iter_mut().filter(|(_, team)| !team.entries.is_empty());
        let (name, team) = waiting
            .min_by(|(_, one), (_, other)| one.virtual_time.total_cmp(&other.virtual_time))?;
        let (ticket, wait) = team.entries.pop_front()?;
        self.virtual_time = self.virtual_time.max(team.virtual_time);
        // A resumed request was charged when it first started.
        if !wait.accepted {
            team.virtual_time += f64::from(wait.tokens) / share(shares, name);
        }
        team.tokens -= u64::from(wait.tokens);
        self.tokens -= u64::from(wait.tokens);
        self.len -= 1;
        Some((ticket, wait))
    }

    /// Takes out every request that `is_wanted` names, in the order of teams and waiting.
    pub fn extract(
        &mut self,
        mut is_wanted: impl FnMut(Ticket, &AdmissionRequest) -> bool,
    ) -> Vec<(Ticket, AdmissionRequest)> {
        let mut taken = Vec::new();
        for team in self.teams.values_mut() {
            if !team.entries.iter().any(|(ticket, wait)| is_wanted(*ticket, wait)) {
                continue;
            }
            for (ticket, wait) in std::mem::take(&mut team.entries) {
                if !is_wanted(ticket, &wait) {
                    team.entries.push_back((ticket, wait));
                    continue;
                }
                team.tokens -= u64::from(wait.tokens);
                self.tokens -= u64::from(wait.tokens);
                self.len -= 1;
                taken.push((ticket, wait));
            }
        }
        taken
    }

    /// Returns the tokens that would be started before the end of a new request of `team`.
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
            if name == team || other.entries.is_empty() {
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
