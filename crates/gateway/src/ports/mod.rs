//! The ports for callers and for the platform.

mod callers;
mod directory;
mod readiness;

pub use callers::CallerPort;
pub use directory::DirectoryPort;
pub use readiness::ReadinessPort;
