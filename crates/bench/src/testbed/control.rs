//! Fault injection into a testbed over HTTP.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::VmName;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler},
};
use bulrushhall_standin::{reply, switches::Faults};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::json;

use crate::testbed::{Machine, Testbed};

/// A `ControlPort` is the HTTP interface that injects faults into a testbed.
///
/// `POST /faults/NAME` sets the faults of `kv`, `cloud`, `list`, `weights` or a VM,
/// `POST /reclaim/NAME` reclaims a VM or an availability zone, `POST /kill/VM` ends a VM without
/// notice, and `GET /counts` returns the counters of the simulated servers.
pub struct ControlPort {
    testbed: Arc<Testbed>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Reclaim {
    notice_ms: u64,
}

impl Default for Reclaim {
    fn default() -> Self {
        Reclaim { notice_ms: 4_000 }
    }
}

impl ControlPort {
    /// Returns the control port of a testbed.
    pub fn new(testbed: Arc<Testbed>) -> ControlPort {
        ControlPort { testbed }
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = reply::read(body).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let path = parts.uri.path().trim_start_matches('/').to_owned();
        let (verb, name) = path.split_once('/').unwrap_or((&path, ""));
        match (&parts.method, verb) {
            (&Method::GET, "counts") => self.counts(),
            (&Method::POST, "faults") => match serde_json::from_slice(&body) {
                Ok(faults) => self.set_faults(name, faults),
                Err(_) => reply::status(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "reclaim") if body.is_empty() => self.reclaim(name, Reclaim::default()),
            (&Method::POST, "reclaim") => match serde_json::from_slice(&body) {
                Ok(reclaim) => self.reclaim(name, reclaim),
                Err(_) => reply::status(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "kill") => match VmName::new(name) {
                Ok(vm) if self.testbed.machines.get(&vm).is_some() => {
                    self.testbed.machines.kill(&vm);
                    reply::json(&json!({ "killed": vm }))
                }
                _ => reply::status(StatusCode::NOT_FOUND),
            },
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn set_faults(&self, name: &str, faults: Faults) -> Response<Body> {
        let testbed = &self.testbed;
        match name {
            "kv" => testbed.kv.switches().set(faults),
            "cloud" => testbed.cloud.switches().set(faults),
            "list" => testbed.machines.list().switches().set(faults),
            "weights" => testbed.weights.switches().set(faults),
            _ => {
                let machine = VmName::new(name).ok().and_then(|vm| testbed.machines.get(&vm));
                match machine {
                    Some(Machine::Engine(engine)) => engine.switches().set(faults),
                    Some(Machine::Service(service)) => service.switches().set(faults),
                    Some(Machine::Node(_)) | None => {
                        return reply::status(StatusCode::NOT_FOUND);
                    }
                }
            }
        }
        reply::json(&faults)
    }

    fn reclaim(&self, name: &str, reclaim: Reclaim) -> Response<Body> {
        let notice = Duration::from_millis(reclaim.notice_ms);
        let vm = VmName::new(name).ok().filter(|vm| self.testbed.machines.get(vm).is_some());
        let reclaimed = match vm {
            Some(vm) => {
                self.testbed.cloud.reclaim(&vm, notice);
                vec![vm]
            }
            None => self.testbed.reclaim_zone(name, notice),
        };
        if reclaimed.is_empty() {
            return reply::status(StatusCode::NOT_FOUND);
        }
        reply::json(&json!({ "reclaimed": reclaimed }))
    }

    fn counts(&self) -> Response<Body> {
        let testbed = &self.testbed;
        reply::json(&json!({
            "engines": testbed.machines.engine_counts(),
            "orders": testbed.ledger.counts(),
            "key_value": testbed.kv.counts(),
            "spent": testbed.cloud.spent(),
        }))
    }
}

impl Handler for ControlPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req).await })
    }
}
