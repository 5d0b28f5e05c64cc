//! The learned speed of a server, and the requests sent to it.

use std::time::Duration;

use bulrushhall_core::{ServiceName, Stamp};
use serde::{Deserialize, Serialize};

use crate::{
    backends::{Backend, QuantitySpeed},
    speed_settings::SpeedSource,
    status::SpeedStatus,
};

/// A `ServerStatus` is the learned speed of a server and the requests sent to it in the last minute, as one node has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: String,
    /// Its service.
    pub service: ServiceName,
    /// The start time in its record, which tells its incarnations apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// The number of requests that the node sent to it in the last minute.
    pub requests: u64,
    /// The speed of its prefill; none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill: Option<SpeedStatus>,
    /// The speed of its decoding; none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decoding: Option<SpeedStatus>,
    /// The speed of its calls; none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<SpeedStatus>,
}

impl ServerStatus {
    /// Returns the status of a server.
    pub fn of(backend: &Backend, now: Stamp, source: SpeedSource) -> ServerStatus {
        let speed = &backend.speed;
        let [prefill, decoding, calls] = match source {
            SpeedSource::AllNodes => [&speed.first, &speed.pause, &speed.call]
                .map(|speed| SpeedStatus::new(speed.factor(), speed.known(), own_age(speed, now))),
            SpeedSource::OwnRequests => [
                own_speed(&speed.first, now, Some(backend.slowness(source))),
                own_speed(&speed.pause, now, None),
                own_speed(&speed.call, now, None),
            ],
        };
        ServerStatus {
            server: backend.name.to_string(),
            service: backend.record.service.clone(),
            born: backend.record.born,
            requests: backend.sent.sum(now).round() as u64,
            prefill,
            decoding,
            calls,
        }
    }
}

impl ServerStatus {
    /// Adds what another node has of the same server. The speed of an earlier incarnation says nothing of the present one.
    pub fn add(&mut self, other: ServerStatus, are_exchanged: bool) {
        self.requests += other.requests;
        if other.born < self.born {
            return;
        }
        if self.born < other.born {
            let requests = self.requests;
            *self = ServerStatus { requests, ..other };
            return;
        }
        let pairs = [
            (&mut self.prefill, other.prefill),
            (&mut self.decoding, other.decoding),
            (&mut self.calls, other.calls),
        ];
        for (known, more) in pairs {
            *known = match (*known, more) {
                (Some(known), Some(more)) => Some(known.merged(more, are_exchanged)),
                (known, more) => known.or(more),
            };
        }
    }
}

// Without a factor that placement goes by, the speed is the mean of the node's own samples.
fn own_speed(speed: &QuantitySpeed, now: Stamp, factor: Option<f64>) -> Option<SpeedStatus> {
    let (count, _) = speed.own_samples();
    let lasting = speed.own_report(now).lasting;
    if factor.is_none() && lasting.weight <= 0.0 {
        return None;
    }
    let factor = factor.unwrap_or_else(|| lasting.mean().exp());
    SpeedStatus::new(factor, count as f64, own_age(speed, now))
}

fn own_age(speed: &QuantitySpeed, now: Stamp) -> Option<Duration> {
    speed.own_samples().1.map(|at| now.since(at))
}
