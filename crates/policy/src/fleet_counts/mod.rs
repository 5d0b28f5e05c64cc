//! How many backend servers of each market a service should have in each availability zone, where
//! the platform buys and places them and takes only the counts.

mod limits;
mod order;
mod planner;
mod recent_peak;
mod sizing_rule;
mod zone_servers;

pub use limits::CountLimits;
pub use order::{CountMarket, CountOrder};
pub use planner::CountPlanner;
pub use sizing_rule::SizingRule;
pub use zone_servers::ZoneServers;
