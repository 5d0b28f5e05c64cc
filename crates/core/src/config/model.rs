//! The models, their versions and adapters, and how a version comes into use.

use std::time::Duration;

use bytesize::ByteSize;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    config::ExactSize,
    name::{ModelName, Name, NameKind, ServiceName, VersionName},
};

/// A `ModelConfig` describes one model.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelConfig {
    /// The service whose engines run the model.
    #[serde_as(as = "DisplayFromStr")]
    pub service: ServiceName,
    /// The version that callers get.
    pub version: String,
    /// The most tokens that one answer may have.
    #[serde_as(as = "DisplayFromStr")]
    pub max_tokens: u32,
}

/// A `VersionConfig` describes one version of a model.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionConfig {
    /// The model.
    #[serde_as(as = "DisplayFromStr")]
    pub model: ModelName,
    /// The key of its weights in the weight store.
    pub weights: String,
    /// The size of its weights.
    #[serde_as(as = "ExactSize")]
    pub size: ByteSize,
}

/// An `AdapterConfig` describes one adapter that is loaded beside a model.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdapterConfig {
    /// The model.
    #[serde_as(as = "DisplayFromStr")]
    pub model: ModelName,
    /// The key of its weights in the weight store.
    pub weights: String,
    /// The size of its weights.
    #[serde_as(as = "ExactSize")]
    pub size: ByteSize,
}

/// A `RolloutConfig` tells how a version comes into use.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutConfig {
    /// The model.
    #[serde_as(as = "DisplayFromStr")]
    pub model: ModelName,
    /// The version that comes into use.
    #[serde_as(as = "DisplayFromStr")]
    pub version: VersionName,
    /// The engines that change at once.
    #[serde_as(as = "DisplayFromStr")]
    pub step: u32,
    /// The time between two steps.
    #[serde_as(as = "DisplayFromStr")]
    pub pause: humantime::Duration,
}

impl Default for ModelConfig {
    fn default() -> Self {
        ModelConfig { service: unset(), version: "1".to_owned(), max_tokens: 4_096 }
    }
}

impl Default for VersionConfig {
    fn default() -> Self {
        VersionConfig { model: unset(), weights: String::new(), size: ByteSize::gib(14) }
    }
}

impl Default for AdapterConfig {
    fn default() -> Self {
        AdapterConfig { model: unset(), weights: String::new(), size: ByteSize::mib(200) }
    }
}

impl Default for RolloutConfig {
    fn default() -> Self {
        RolloutConfig {
            model: unset(),
            version: unset(),
            step: 1,
            pause: Duration::from_secs(60).into(),
        }
    }
}

fn unset<K: NameKind>() -> Name<K> {
    Name::new("unset").unwrap_or_else(|_| unreachable!("a valid name"))
}
