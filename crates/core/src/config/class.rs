//! The kinds of requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// A `ClassConfig` describes one kind of request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfig {
    /// The priority; 0 is the most urgent.
    #[serde_as(as = "DisplayFromStr")]
    pub priority: u8,
    /// The time within which the first token is to come.
    #[serde_as(as = "DisplayFromStr")]
    pub first_token: humantime::Duration,
    /// The time between two tokens that is not to be passed.
    #[serde_as(as = "DisplayFromStr")]
    pub token_gap: humantime::Duration,
    /// The time within which the whole answer is to come.
    #[serde_as(as = "DisplayFromStr")]
    pub deadline: humantime::Duration,
    /// The longest wait after which a request goes before more urgent ones.
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
