//! The parsed configuration: routes, services, teams and limits at one revision.

mod limits;
mod route;
mod route_table;
mod service;
mod team;

pub use limits::CallerLimits;
pub use route::Route;
pub use route_table::RouteTable;
pub use service::{EngineSizes, ServiceEntry};
pub use team::{QuotaUnit, TeamEntry};
