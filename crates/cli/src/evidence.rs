//! The evidence of a roll-out, from the metrics of the node that holds the duties.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::ServiceName;
use bulrushhall_external::{
    CallError, CallFault,
    http::{Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;

use crate::error::CliError;

/// The timeout for a page of metrics.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a page of metrics, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// `Evidence` is what the holder of the duties has counted in a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Evidence {
    /// The share of the requests that the target version gets.
    pub share: f64,
    /// The answers of the current version, and the bad ones among them.
    pub current: Answers,
    /// The answers of the target version, and the bad ones among them.
    pub target: Answers,
}

/// `Answers` are the answers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answers {
    /// All answers.
    pub all: u64,
    /// Those that failed or were slow.
    pub bad: u64,
}

/// Returns the evidence of the first node among `pages` that holds the duties, if one does.
pub async fn evidence(
    pages: &[SocketAddr],
    service: &ServiceName,
) -> Result<Option<Evidence>, CliError> {
    for &address in pages {
        let page = page(address).await.map_err(|cause| CliError::Node { address, cause })?;
        let holds = value(&page, "bulrush_route_duties_held", &[]);
        if holds == Some(1.0) {
            return Ok(Some(read(&page, service)));
        }
    }
    Ok(None)
}

fn read(page: &str, service: &ServiceName) -> Evidence {
    let service = ("service", service.as_str());
    let count = |version: &str, result: &str| {
        let labels = [service, ("version", version), ("result", result)];
        value(page, "bulrush_route_rollout_answers", &labels).unwrap_or(0.0) as u64
    };
    let answers = |version| Answers { all: count(version, "all"), bad: count(version, "bad") };
    Evidence {
        share: value(page, "bulrush_route_rollout_share", &[service]).unwrap_or(0.0),
        current: answers("current"),
        target: answers("target"),
    }
}

// Returns the value of a metric with the given labels.
fn value(page: &str, name: &str, labels: &[(&str, &str)]) -> Option<f64> {
    for line in page.lines() {
        let Some((metric, value)) = line.rsplit_once(' ') else { continue };
        let (found, found_labels) = metric.split_once('{').unwrap_or((metric, ""));
        let has =
            |(key, value): &(&str, &str)| found_labels.contains(&format!("{key}=\"{value}\""));
        if found == name && labels.iter().all(has) {
            return value.parse().ok();
        }
    }
    None
}

async fn page(address: SocketAddr) -> Result<String, CallError> {
    let malformed = |_| CallError::not_done(CallFault::Malformed);
    let endpoint = Endpoint::new(address, EndpointOptions::default());
    let req = Request::get("/metrics").body(Full::<Bytes>::default()).map_err(malformed)?;
    let response = endpoint.send(req).await?;
    let body = read_limited(response.into_body(), MAX_PAGE_BYTES, PAGE_TIMEOUT).await;
    let body = body.map_err(|_| CallError::unknown(CallFault::Closed))?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}
