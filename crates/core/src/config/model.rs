//! Models, their versions and adapters, and rollouts of versions.

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
    /// The version that serves callers.
    pub version: String,
    /// The maximum number of tokens of a response.
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
    /// The key of the weights in the weight store.
    pub weights: String,
    /// The size of the weights.
    #[serde_as(as = "ExactSize")]
    pub size: ByteSize,
}

/// An `AdapterConfig` describes one adapter that engines load in addition to a model.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdapterConfig {
    /// The model.
    #[serde_as(as = "DisplayFromStr")]
    pub model: ModelName,
    /// The key of the weights in the weight store.
    pub weights: String,
    /// The size of the weights.
    #[serde_as(as = "ExactSize")]
    pub size: ByteSize,
}

/// A `RolloutConfig` describes how a version is rolled out.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutConfig {
    /// The model.
    #[serde_as(as = "DisplayFromStr")]
    pub model: ModelName,
    /// The version that is rolled out.
    #[serde_as(as = "DisplayFromStr")]
    pub version: VersionName,
    /// The number of engines that change in one step.
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
