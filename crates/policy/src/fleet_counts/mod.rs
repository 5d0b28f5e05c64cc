//! The number of backend servers of a service in each market and availability zone, for platforms
//! that buy and place the servers themselves and accept only counts.

mod limits;
mod order;
mod planner;
mod recent_peak;
mod sizing_rule;
mod version_reserve;
mod zone_servers;

pub use limits::CountLimits;
pub use order::{CountMarket, CountOrder};
pub use planner::CountPlanner;
pub use sizing_rule::SizingRule;
pub use version_reserve::VersionReserve;
pub use zone_servers::ZoneServers;
