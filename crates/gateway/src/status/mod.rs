//! What a node reports to operators: its queues, the teams at their limits and the speeds of servers.

mod merged_status;
mod node_report;
mod queue_status;
mod recent_sum;
mod route_status;
mod server_status;
mod speed_status;
mod status_merger;
mod tables;
mod team_counts;
mod team_status;

pub use merged_status::{MergedServer, MergedStatus};
pub use node_report::{MemberReport, NodeReport};
pub use queue_status::{QueueStatus, TeamQueue, UrgencyQueue};
pub use recent_sum::RecentSum;
pub use route_status::RouteStatus;
pub use server_status::ServerStatus;
pub use speed_status::SpeedStatus;
pub use status_merger::StatusMerger;
pub use tables::{StatusTable, status_tables};
pub use team_counts::TeamCounts;
pub use team_status::{Restriction, TeamStatus, TeamUnit};
