//! Teams of callers.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::config::{KeyHash, Rate};

/// A `TeamConfig` describes one team of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamConfig {
    /// The team's share of capacity, relative to the shares of the other teams.
    #[serde_as(as = "DisplayFromStr")]
    pub share: u32,
    /// The SHA-256 hash of the team's key, in hexadecimal; without one, no key is required.
    pub key_hash: Option<KeyHash>,
    /// The hash of a second accepted key, for use while a key is rotated.
    pub other_key_hash: Option<KeyHash>,
    /// The maximum number of model requests that run or wait at once, over all nodes.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub at_once: Option<u32>,
    /// The maximum rate of model requests, over all nodes.
    pub requests: Option<Rate>,
    /// The maximum rate of tokens, prompts and longest responses together, over all nodes.
    pub tokens: Option<Rate>,
}

impl TeamConfig {
    /// Returns whether callers of the team need a key.
    pub fn needs_key(&self) -> bool {
        self.key_hash.is_some() || self.other_key_hash.is_some()
    }

    /// Returns whether a key with this hash is one of the team's keys.
    pub fn accepts(&self, key: &KeyHash) -> bool {
        // Both comparisons always run, so that their time does not reveal which key matches.
        let first = self.key_hash.as_ref().is_some_and(|hash| hash.matches(key));
        let second = self.other_key_hash.as_ref().is_some_and(|hash| hash.matches(key));
        first | second
    }
}

impl Default for TeamConfig {
    fn default() -> Self {
        TeamConfig {
            share: 1,
            key_hash: None,
            other_key_hash: None,
            at_once: None,
            requests: None,
            tokens: None,
        }
    }
}
