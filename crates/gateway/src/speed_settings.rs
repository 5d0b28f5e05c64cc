//! The settings for the speeds of backend servers.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// `SpeedSettings` are the settings for the speeds of backend servers.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpeedSettings {
    /// Whether nodes exchange the speeds of servers and choose servers by them.
    #[serde_as(as = "DisplayFromStr")]
    pub exchanged: bool,
}

impl SpeedSettings {
    /// Returns what a node knows the speeds of servers from.
    pub fn source(self) -> SpeedSource {
        if self.exchanged { SpeedSource::AllNodes } else { SpeedSource::OwnRequests }
    }
}

/// A `SpeedSource` is what a node knows the speeds of backend servers from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedSource {
    /// The first tokens of its own requests.
    #[default]
    OwnRequests,
    /// The answers that all nodes have received.
    AllNodes,
}
