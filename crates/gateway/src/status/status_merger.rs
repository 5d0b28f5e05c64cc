//! Adds up what several nodes report.

use std::{cmp::Reverse, collections::BTreeMap};

use bulrushhall_core::{ServiceName, TeamName};

use crate::status::{
    MergedServer, MergedStatus, QueueStatus, RouteStatus, ServerStatus, TeamStatus,
};

/// A `StatusMerger` adds up the reports of nodes one by one, so that not all of them have to be held.
#[derive(Debug, Default)]
pub struct StatusMerger {
    merged: MergedStatus,
    queues: BTreeMap<ServiceName, QueueStatus>,
    are_queues_known: bool,
    teams: BTreeMap<TeamName, TeamStatus>,
    servers: BTreeMap<(ServiceName, String), ServerStatus>,
}

impl StatusMerger {
    /// Notes that a node did not answer.
    pub fn add_unanswered(&mut self, address: impl ToString) {
        self.merged.unanswered.push(address.to_string());
    }

    /// Adds the report of a node; none if it does not report these values.
    pub fn add(&mut self, node: impl ToString, status: Option<RouteStatus>) {
        let Some(status) = status else {
            self.merged.nodes_without.push(node.to_string());
            return;
        };
        let merged = &mut self.merged;
        merged.nodes.push(node.to_string());
        // The same items are left out at most nodes.
        merged.omitted_queues = merged.omitted_queues.max(status.omitted_queues);
        merged.omitted_teams = merged.omitted_teams.max(status.omitted_teams);
        merged.omitted_servers = merged.omitted_servers.max(status.omitted_servers);
        self.are_queues_known |= status.queues.is_some();
        for queue in status.queues.into_iter().flatten() {
            match self.queues.get_mut(&queue.service) {
                Some(sum) => sum.add(queue),
                None => drop(self.queues.insert(queue.service.clone(), queue)),
            }
        }
        for team in status.teams {
            match self.teams.get_mut(&team.team) {
                Some(sum) => sum.add(team),
                None => drop(self.teams.insert(team.team.clone(), team)),
            }
        }
        for server in status.servers {
            let key = (server.service.clone(), server.server.clone());
            match self.servers.get_mut(&key) {
                Some(sum) => sum.add(server, status.speeds_exchanged),
                None => drop(self.servers.insert(key, server)),
            }
        }
    }

    /// Returns the sums with at most `count` queues, teams in each of them, restricted teams and servers.
    pub fn top(self, count: usize) -> MergedStatus {
        let StatusMerger { mut merged, queues, are_queues_known, teams, servers } = self;
        let mut queues: Vec<_> = queues.into_values().collect();
        queues.sort_by_key(|queue| Reverse(queue.tokens));
        merged.omitted_queues += truncate(&mut queues, count);
        queues.iter_mut().for_each(|queue| queue.top(count));
        merged.queues = are_queues_known.then_some(queues);

        let restricted = |team: &TeamStatus| team.restriction().is_some();
        merged.teams = teams.into_values().filter(restricted).collect();
        merged.teams.sort_by_key(|team| Reverse(team.refused_requests + team.refused_queued));
        merged.omitted_teams += truncate(&mut merged.teams, count);

        merged.servers = with_parts(servers.into_values().collect());
        merged.servers.sort_by_key(|merged| Reverse(merged.server.requests));
        merged.omitted_servers += truncate(&mut merged.servers, count);
        merged
    }
}

fn with_parts(servers: Vec<ServerStatus>) -> Vec<MergedServer> {
    let mut sums: BTreeMap<ServiceName, u64> = BTreeMap::new();
    for server in &servers {
        *sums.entry(server.service.clone()).or_default() += server.requests;
    }
    let mut merged = Vec::new();
    for server in servers {
        let sum = sums.get(&server.service).copied().filter(|sum| 0 < *sum);
        let part = sum.map(|sum| server.requests as f64 / sum as f64);
        let part = part.map(|part| (part * 10_000.0).round() / 10_000.0);
        merged.push(MergedServer { server, part });
    }
    merged
}

// Returns the number of items that were removed.
fn truncate<T>(items: &mut Vec<T>, max: usize) -> u64 {
    let omitted = items.len().saturating_sub(max);
    items.truncate(max);
    omitted as u64
}
