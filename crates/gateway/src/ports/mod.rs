//! The ports for callers and for the platform.

mod callers;
mod directory;
mod port;
mod readiness;

pub use callers::CallerPort;
pub use directory::DirectoryPort;
pub use port::Port;
pub use readiness::ReadinessPort;
