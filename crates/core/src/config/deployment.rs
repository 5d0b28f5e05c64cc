//! The whole configuration of a deployment.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        AdapterConfig, ClassConfig, EnginesConfig, ModelConfig, RolloutConfig, RouteConfig,
        ServiceConfig, TeamConfig, VersionConfig, VmClassConfig, Weights, ZoneConfig,
    },
    name::{
        AdapterName, ClassName, ModelName, RolloutName, RouteName, ServiceName, TeamName,
        VersionName, VmClassName, ZoneName,
    },
};

/// A `Deployment` is the whole configuration that is in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deployment {
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The number and capacity of engines, by service.
    pub engines: BTreeMap<ServiceName, EnginesConfig>,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// The versions of models, by name.
    pub versions: BTreeMap<VersionName, VersionConfig>,
    /// The adapters, by name.
    pub adapters: BTreeMap<AdapterName, AdapterConfig>,
    /// The rollouts of versions, by name.
    pub rollouts: BTreeMap<RolloutName, RolloutConfig>,
    /// The request classes, by name.
    pub classes: BTreeMap<ClassName, ClassConfig>,
    /// The teams, by name.
    pub teams: BTreeMap<TeamName, TeamConfig>,
    /// The routes, by name.
    pub routes: BTreeMap<RouteName, RouteConfig>,
    /// The availability zones, by name.
    pub zones: BTreeMap<ZoneName, ZoneConfig>,
    /// The classes of VMs, by name.
    pub vm_classes: BTreeMap<VmClassName, VmClassConfig>,
    /// The weights of the terms in scheduling decisions.
    pub weights: Weights,
}
