//! What several nodes report of their queues, teams and servers.

use serde::Serialize;

use crate::status::{QueueStatus, ServerStatus, TeamStatus};

/// A `MergedStatus` is what several nodes report of their queues, teams and servers, of bounded length.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MergedStatus {
    /// The nodes whose reports are added up.
    pub nodes: Vec<String>,
    /// The nodes that do not report these values, as those of an earlier version.
    pub nodes_without: Vec<String>,
    /// The addresses of the nodes that did not answer.
    pub unanswered: Vec<String>,
    /// The queues, those with the most tokens first; none if no node queues requests.
    pub queues: Option<Vec<QueueStatus>>,
    /// The teams that are restricted, those with the most refused requests first.
    pub teams: Vec<TeamStatus>,
    /// The servers, those with the most requests first.
    pub servers: Vec<MergedServer>,
    /// The number of queues that are left out.
    pub omitted_queues: u64,
    /// The number of teams that are left out.
    pub omitted_teams: u64,
    /// The number of servers that are left out.
    pub omitted_servers: u64,
}

/// A `MergedServer` is a server as several nodes report it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MergedServer {
    /// Its requests in the last minute and its speed, over all nodes.
    #[serde(flatten)]
    pub server: ServerStatus,
    /// Its part of the requests of its service in the last minute; none if there were none.
    pub part: Option<f64>,
}
