//! The teams of callers.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::config::{KeyHash, Rate};

/// A `TeamConfig` describes one team of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamConfig {
    /// The team's share of capacity in relation to the other teams' shares.
    #[serde_as(as = "DisplayFromStr")]
    pub share: u32,
    /// The SHA-256 hash of the team's key, in hexadecimal; none means that no key is asked for.
    pub key_hash: Option<KeyHash>,
    /// The hash of a second key that is taken too, for the time in which a key is changed.
    pub other_key_hash: Option<KeyHash>,
    /// The most model requests that run or wait at once, over all nodes.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub at_once: Option<u32>,
    /// The most model requests over time, over all nodes.
    pub requests: Option<Rate>,
    /// The most tokens over time, prompts and longest answers together, over all nodes.
    pub tokens: Option<Rate>,
}

impl TeamConfig {
    /// Returns whether callers of the team need a key.
    pub fn needs_key(&self) -> bool {
        self.key_hash.is_some() || self.other_key_hash.is_some()
    }

    /// Returns whether a key with this hash is one of the team's keys.
    pub fn accepts(&self, key: &KeyHash) -> bool {
        // Both comparisons are made in any case, so that their time does not tell which one fits.
        let first = self.key_hash.as_ref().is_some_and(|own| own.matches(key));
        let second = self.other_key_hash.as_ref().is_some_and(|own| own.matches(key));
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
