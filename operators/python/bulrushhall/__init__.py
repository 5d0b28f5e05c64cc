"""Describes bulrushhall deployments and prints the configuration that `bulrush apply` takes."""

from .deployment import Deployment, backends_from
from .problem import DeploymentError, Problem
from .sections import (
    Adapter,
    Class,
    Engines,
    Model,
    Rollout,
    Route,
    Section,
    Service,
    Team,
    Version,
    VmClass,
    Weights,
    Zone,
)
from .units import Rate, gib, hash_key, mib

__all__ = [
    "Adapter",
    "Class",
    "Deployment",
    "DeploymentError",
    "Engines",
    "Model",
    "Problem",
    "Rate",
    "Rollout",
    "Route",
    "Section",
    "Service",
    "Team",
    "Version",
    "VmClass",
    "Weights",
    "Zone",
    "backends_from",
    "gib",
    "hash_key",
    "mib",
]
