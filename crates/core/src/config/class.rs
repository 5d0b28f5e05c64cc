//! Request classes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// A `ClassConfig` describes one class of requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfig {
    /// The priority; 0 is the most urgent.
    #[serde_as(as = "DisplayFromStr")]
    pub priority: u8,
    /// The target time to the first token.
    #[serde_as(as = "DisplayFromStr")]
    pub first_token: humantime::Duration,
    /// The target for the maximum time between two tokens.
    #[serde_as(as = "DisplayFromStr")]
    pub token_gap: humantime::Duration,
    /// The time limit for the complete response.
    #[serde_as(as = "DisplayFromStr")]
    pub deadline: humantime::Duration,
    /// The queueing time after which a request is served before more urgent ones.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub patience: Option<humantime::Duration>,
}

impl Default for ClassConfig {
    fn default() -> Self {
        ClassConfig {
            priority: 1,
            first_token: Duration::from_millis(1_900).into(),
            token_gap: Duration::from_millis(32).into(),
            deadline: Duration::from_secs(60).into(),
            patience: None,
        }
    }
}
