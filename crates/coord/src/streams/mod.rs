//! The software versions of backend servers at which streams began, as each node knows them.
//!
//! The events of two versions do not fit together, so a stream is resumed only at the version of its first event.

mod origin;

pub use origin::StreamOrigin;
