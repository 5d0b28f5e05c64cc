//! The HTTP client of the weight store.

use bulrushhall_core::ModelName;

use crate::{
    Call,
    clients::json,
    http::Endpoint,
    weights::{WeightGrant, WeightStore},
};

/// An `HttpWeightStore` is a client of the weight store.
pub struct HttpWeightStore {
    endpoint: Endpoint,
}

impl HttpWeightStore {
    /// Returns a client of the weight store at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpWeightStore {
        HttpWeightStore { endpoint }
    }
}

impl WeightStore for HttpWeightStore {
    fn fetch<'a>(&'a self, model: &'a ModelName, version: &'a str) -> Call<'a, WeightGrant> {
        Box::pin(async move { json::post(&self.endpoint, "/fetch", &(model, version)).await })
    }
}
