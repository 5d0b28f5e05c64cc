//! The parts of bulrushhall that other programs embed.

pub use bulrushhall_coord as coord;
pub use bulrushhall_core as core;
pub use bulrushhall_platform as platform;
pub use bulrushhall_policy as policy;
