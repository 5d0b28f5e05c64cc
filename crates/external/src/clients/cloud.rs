//! The HTTP client of the cloud API.

use bulrushhall_core::VmName;

use crate::{
    Call,
    clients::json,
    cloud::{Cloud, Notice, Offer, Purchase},
    http::Endpoint,
};

/// An `HttpCloud` is a client of the cloud API.
pub struct HttpCloud {
    endpoint: Endpoint,
}

impl HttpCloud {
    /// Returns a client of the cloud API at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpCloud {
        HttpCloud { endpoint }
    }
}

impl Cloud for HttpCloud {
    fn offers(&self) -> Call<'_, Vec<Offer>> {
        Box::pin(json::get(&self.endpoint, "/offers"))
    }

    fn buy(&self, purchase: Purchase) -> Call<'_, VmName> {
        Box::pin(async move { json::post(&self.endpoint, "/buy", &purchase).await })
    }

    fn release<'a>(&'a self, vm: &'a VmName) -> Call<'a, ()> {
        Box::pin(async move { json::post(&self.endpoint, "/release", vm).await })
    }

    fn notices(&self) -> Call<'_, Vec<Notice>> {
        Box::pin(json::get(&self.endpoint, "/notices"))
    }
}
