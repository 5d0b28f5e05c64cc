//! The HTTP client of the cloud API.

use bulrushhall_core::VmName;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Call, CallError,
    clients::json,
    cloud::{Cloud, Notice, Offer, Purchase},
    http::{Endpoint, SendPermit},
};

/// An `HttpCloud` is a client of the cloud API.
pub struct HttpCloud {
    endpoint: Endpoint,
    permit: Option<SendPermit>,
}

impl HttpCloud {
    /// Returns a client of the cloud API at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpCloud {
        HttpCloud { endpoint, permit: None }
    }

    /// Returns the client with a permit for its orders; none is sent once the permit has ended.
    pub fn with_permit(self, permit: SendPermit) -> HttpCloud {
        HttpCloud { permit: Some(permit), ..self }
    }

    async fn order<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallError> {
        json::post_permitted(&self.endpoint, path, body, self.permit.clone()).await
    }
}

impl Cloud for HttpCloud {
    fn offers(&self) -> Call<'_, Vec<Offer>> {
        Box::pin(json::get(&self.endpoint, "/offers"))
    }

    fn buy(&self, purchase: Purchase) -> Call<'_, VmName> {
        Box::pin(async move { self.order("/buy", &purchase).await })
    }

    fn release<'a>(&'a self, vm: &'a VmName) -> Call<'a, ()> {
        Box::pin(self.order("/release", vm))
    }

    fn notices(&self) -> Call<'_, Vec<Notice>> {
        Box::pin(json::get(&self.endpoint, "/notices"))
    }
}
