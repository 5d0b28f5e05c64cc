//! The store that engines load model weights from.

use bulrushhall_core::ModelName;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `WeightGrant` is the permission to load weights at a certain time and rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightGrant {
    /// The time until the load may start, in milliseconds.
    pub wait_ms: u64,
    /// The duration of the load, in milliseconds.
    pub load_ms: u64,
}

/// A `WeightStore` serves model weights at a limited rate.
pub trait WeightStore: Send + Sync {
    /// Requests the load of one version of a model.
    fn fetch<'a>(&'a self, model: &'a ModelName, version: &'a str) -> Call<'a, WeightGrant>;
}
