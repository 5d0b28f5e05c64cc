//! The daemon of a node: request handling, the ports for callers, peers and operators, and the actors.

pub mod answers;
pub mod backends;
pub mod budgeted;
pub mod callers;
pub mod carried;
mod certificates;
pub mod clock;
pub mod config_chain;
pub mod config_watch;
pub mod context;
pub mod crashes;
pub mod discovery;
pub mod dispatcher;
pub mod duty;
pub mod errors;
pub mod fleet;
pub mod handoff;
pub mod keyed;
pub mod loads;
pub mod members;
pub mod membership_actor;
pub mod meters;
pub mod node;
pub mod notices;
pub mod operators;
pub mod peers;
mod route_metrics;
pub mod routes;
pub mod settings;
pub mod telemetry;

pub use node::Node;
pub use settings::Settings;
