//! Serving of routes: the path of a request from a caller to a backend server, for platforms that have
//! their own protocols for callers, backend servers and operators.

pub mod adapter;
pub mod announcements;
pub mod backends;
pub mod body_budget;
pub mod brittle;
pub mod capacity_settings;
pub mod change_log;
pub mod clock;
pub mod cluster;
pub mod crashes;
pub mod demand;
pub mod duties;
pub mod fleet_settings;
pub mod gateway;
pub mod meters;
pub mod node;
pub mod observed;
pub mod pipeline;
pub mod platform_calls;
pub mod ports;
pub mod prefix_homes;
pub mod random;
pub mod reachability;
pub mod reported_facts;
pub mod retries;
pub mod rollouts;
pub mod server_speeds;
pub mod settings;
pub mod speed_settings;
pub mod startup;
pub mod status;
pub mod streams;
pub mod table;
pub mod waiting;

pub use gateway::{Gateway, Phase, Platform};
pub use node::Node;
pub use settings::Settings;
