//! The store that engines load model weights from.

use bulrushhall_core::ModelName;
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `WeightGrant` is the leave to load weights at some rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightGrant {
    /// The milliseconds until the load may start.
    pub wait_ms: u64,
    /// The milliseconds that the load then takes.
    pub load_ms: u64,
}

/// A `WeightStore` hands out model weights at a limited rate.
pub trait WeightStore: Send + Sync {
    /// Asks for a load of one version of a model.
    fn fetch<'a>(&'a self, model: &'a ModelName, version: &'a str) -> Call<'a, WeightGrant>;
}
