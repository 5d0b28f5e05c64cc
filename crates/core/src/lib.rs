//! Shared types: names, identifiers, time, the configuration model, errors and numbered log events.

pub mod config;
pub mod entries;
pub mod errors;
pub mod event;
pub mod ids;
pub mod name;
pub mod ran;
pub mod seconds;
pub mod stamp;
pub mod token;

pub use config::Deployment;
pub use errors::{CoreError, Result};
pub use event::Event;
pub use ids::{Era, FencingNumber, Incarnation, RequestId, Revision};
pub use name::{
    AdapterName, ClassName, ModelName, NodeName, RolloutName, RouteName, ServiceName, TeamName,
    VersionName, VmClassName, VmName, ZoneName,
};
pub use ran::Ran;
pub use seconds::bounded_seconds;
pub use stamp::Stamp;
