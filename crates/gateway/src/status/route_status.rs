//! What a node that serves routes knows of its queues, teams and servers.

use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

use crate::{
    gateway::{Gateway, State},
    speed_settings::SpeedSource,
    status::{QueueStatus, ServerStatus, TeamStatus},
};

/// The maximum number of services whose queues a node reports.
const MAX_QUEUES: usize = 64;
/// The maximum number of teams that a node reports.
const MAX_TEAMS: usize = 256;
/// The maximum number of servers that a node reports: more than the 860 of the largest deployment.
const MAX_SERVERS: usize = 1_024;

/// A `RouteStatus` is what a node that serves routes knows of its queues, teams and servers, computed when it is requested.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RouteStatus {
    /// The queues with requests, or in which requests were queued a moment ago; none if the node does not queue requests.
    pub queues: Option<Vec<QueueStatus>>,
    /// The teams that sent requests in the last minute.
    pub teams: Vec<TeamStatus>,
    /// The servers.
    pub servers: Vec<ServerStatus>,
    /// Whether nodes exchange the speeds of servers.
    pub speeds_exchanged: bool,
    /// The number of queues that are left out.
    pub omitted_queues: u64,
    /// The number of teams that are left out.
    pub omitted_teams: u64,
    /// The number of servers that are left out.
    pub omitted_servers: u64,
}

impl RouteStatus {
    /// Returns the current status of a node.
    pub fn of(gateway: &Gateway, now: Stamp) -> RouteStatus {
        let mut status = gateway.with(|state| RouteStatus::of_state(gateway, state, now));
        if let Some(queues) = &mut status.queues {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.tokens));
            status.omitted_queues = truncate(queues, MAX_QUEUES);
        }
        status.teams.sort_by_key(|team| {
            std::cmp::Reverse((team.refused_requests + team.refused_queued, team.used))
        });
        status.omitted_teams = truncate(&mut status.teams, MAX_TEAMS);
        status.servers.sort_by_key(|server| std::cmp::Reverse(server.requests));
        status.omitted_servers = truncate(&mut status.servers, MAX_SERVERS);
        status
    }

    fn of_state(gateway: &Gateway, state: &State, now: Stamp) -> RouteStatus {
        let queues = gateway.settings.waiting.enabled.then(|| {
            let mut queues = Vec::new();
            for (service, queue) in state.waiting.iter() {
                if queue.queue.is_empty() && queue.shortage.lasts(now).is_none() {
                    continue;
                }
                queues.push(QueueStatus::of(service, queue, now));
            }
            queues
        });
        let account = (now, gateway.quota_slack(), state.members.count());
        let mut teams = Vec::new();
        for (team, counts) in &state.team_counts {
            teams.extend(TeamStatus::of(team, counts, state.quotas.get(team), account));
        }
        let source = state.speed_source;
        let servers = state.backends.iter();
        RouteStatus {
            queues,
            teams,
            servers: servers.map(|(_, backend)| ServerStatus::of(backend, now, source)).collect(),
            speeds_exchanged: source == SpeedSource::AllNodes,
            ..RouteStatus::default()
        }
    }
}

// Returns the number of items that were removed.
fn truncate<T>(items: &mut Vec<T>, max: usize) -> u64 {
    let omitted = items.len().saturating_sub(max);
    items.truncate(max);
    omitted as u64
}
