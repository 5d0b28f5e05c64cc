//! The routes by which callers' requests reach services.

use std::{error, fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, DisplayFromStr, SerializeDisplay, serde_as};

use crate::{config::CommaList, name::ServiceName};

/// A `RouteKind` determines whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Running a request again changes nothing.
    Idempotent,
    /// A request may run at most once.
    #[default]
    AtMostOnce,
    /// The response is a stream of events, and a request may run at most once.
    Stream,
    /// The response is a stream of events that can be resumed after the last received one.
    ResumableStream,
}

/// A `ServiceShare` is the share of a route's requests that one service receives, written
/// `service@weight`.
#[derive(Clone, Debug, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// The weight in relation to the other shares of the route.
    pub weight: u32,
}

/// A `ServiceShareError` is returned for text that is not of the form `service@weight`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShareError {
    text: String,
}

/// A `RouteConfig` describes one route.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteConfig {
    /// The host of the requests, in lower case.
    pub host: String,
    /// The prefix of the path; a request takes the route with the longest matching prefix.
    pub prefix: String,
    /// The services among which the requests are split, as `service@weight`.
    #[serde_as(as = "CommaList")]
    pub services: Vec<ServiceShare>,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// The maximum number of backend servers to which one request is sent.
    #[serde_as(as = "DisplayFromStr")]
    pub attempts: u32,
    /// The time limit for the complete response.
    #[serde_as(as = "DisplayFromStr")]
    pub timeout: humantime::Duration,
    /// The longest time to the response, or to its first event, that counts as on time.
    #[serde_as(as = "DisplayFromStr")]
    pub target_latency: humantime::Duration,
    /// The longest time between two events of a response that counts as on time.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub target_gap: Option<humantime::Duration>,
    /// The priority; 0 is the most urgent.
    #[serde_as(as = "DisplayFromStr")]
    pub priority: u8,
    /// Whether callers need no key.
    #[serde_as(as = "DisplayFromStr")]
    pub anonymous: bool,
}

impl RouteKind {
    /// Returns whether a request may be retried although it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

impl RouteConfig {
    /// Returns the service for a request, selected by weight from a hash of the request's id.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut offset = hash % total.max(1);
        for share in &self.services {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }
}

impl Default for RouteConfig {
    fn default() -> Self {
        RouteConfig {
            host: String::new(),
            prefix: "/".to_owned(),
            services: Vec::new(),
            kind: RouteKind::AtMostOnce,
            attempts: 1,
            timeout: Duration::from_secs(10).into(),
            target_latency: Duration::from_secs(1).into(),
            target_gap: None,
            priority: 1,
            anonymous: false,
        }
    }
}

impl fmt::Display for ServiceShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.service, self.weight)
    }
}

impl FromStr for ServiceShare {
    type Err = ServiceShareError;

    fn from_str(text: &str) -> Result<ServiceShare, ServiceShareError> {
        let malformed = || ServiceShareError { text: text.to_owned() };
        let (service, weight) = text.trim().split_once('@').ok_or_else(malformed)?;
        Ok(ServiceShare {
            service: ServiceName::new(service).map_err(|_| malformed())?,
            weight: weight.parse().map_err(|_| malformed())?,
        })
    }
}

impl fmt::Display for ServiceShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed share {:?}, expected service@weight", self.text)
    }
}

impl error::Error for ServiceShareError {}
