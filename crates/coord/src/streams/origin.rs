//! Origins of streams.

use bulrushhall_core::ServiceName;
use serde::{Deserialize, Serialize};

/// A `StreamOrigin` is where the first event of a stream came from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the backend server's software.
    pub version: String,
}
