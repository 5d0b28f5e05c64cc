//! The exchange of digests between nodes, and the port that takes them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_core::{NodeName, Stamp, TeamName};
use bulrushhall_external::{
    BoxFuture, CallError, CallFault,
    http::{
        Body, Endpoint, EndpointOptions, Handler, Progress, empty, full, read_limited,
        read_progressing,
    },
};
use bulrushhall_policy::quota::QuotaTold;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock,
    gateway::Gateway,
    knowledge::{BackendLoad, Digest, Document, take_config},
    meters,
};

/// The time between two exchanges with each node: a burst is seen by all nodes before an engine has
/// read more than a few prompts.
const EACH: Duration = Duration::from_millis(250);
/// The age of the configuration from which a node asks all others: above what two watches take.
const BLIND_AFTER: Duration = Duration::from_millis(2_500);
/// For how long another node must have followed the records of backend servers without a failure for
/// its word that the key-value service was not away: twice what records that lapsed take to return.
const STEADY_FOR: Duration = Duration::from_secs(4);
/// The longest time for opening a connection to a node.
const CONNECT: Duration = Duration::from_millis(250);
/// The longest time until a node answers.
const ANSWER: Duration = Duration::from_millis(700);
/// How a digest has to arrive: one that takes longer says nothing of this moment.
const DIGEST: Progress = Progress { pause: ANSWER, whole: ANSWER };
/// How a configuration has to arrive.
const DOCUMENT: Progress = Progress { pause: ANSWER, whole: Duration::from_secs(10) };
/// The time that the key-value service has to bring a configuration that other nodes have, besides what
/// its size takes.
const SERVICE_FIRST: Duration = Duration::from_millis(500);
/// The bytes of a configuration that the key-value service has a second for.
const SERVICE_RATE: f64 = 1_000_000.0;
/// The largest message, in bytes: a configuration, with room to spare.
const MESSAGE_LIMIT: usize = 4 << 20;
/// Where digests are exchanged.
const DIGEST_PATH: &str = "/digest";
/// Where the configuration is read.
const DOCUMENT_PATH: &str = "/document";

/// A `PeerPort` answers other nodes.
pub struct PeerPort {
    gateway: Arc<Gateway>,
}

impl PeerPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> PeerPort {
        PeerPort { gateway }
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let Ok(body) = read_limited(req.into_body(), MESSAGE_LIMIT, ANSWER).await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match path.as_str() {
            DIGEST_PATH => {
                let Ok(told) = rmp_serde::from_slice::<Digest>(&body) else {
                    return refuse(StatusCode::BAD_REQUEST);
                };
                if let Some(reading) = hear(&self.gateway, None, told) {
                    let endpoint = endpoint(reading.address);
                    tokio::spawn(async move { read_document(reading, &endpoint).await });
                }
                encoded(&digest(&self.gateway))
            }
            DOCUMENT_PATH => {
                let table = self.gateway.table.load_full();
                let bytes = table.map(|table| table.document.clone()).unwrap_or_default();
                encoded(&Document { bytes })
            }
            _ => refuse(StatusCode::NOT_FOUND),
        }
    }
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req).await })
    }
}

/// Exchanges digests with all other nodes for ever.
///
/// Of two nodes the one with the lower name asks, and both learn from one call. A node that lost
/// the key-value service asks all: how old its configuration is it learns from answers alone. A node that
/// the service has no record of is asked by all who know it.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut endpoints: HashMap<SocketAddr, Arc<Endpoint>> = HashMap::new();
    let mut ticks = interval(EACH);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = clock::now();
        let peers: Vec<(NodeName, SocketAddr)> = gateway.with(|state| {
            state.members.expire(now);
            state.backends.expire(now);
            meters::members(state.members.count(), state.members.heard(now));
            let members = &state.members;
            for quota in state.quotas.values_mut() {
                quota.retain(|peer| members.is_alive(peer));
            }
            let own = &gateway.settings.gateway.name;
            let blind = !state.freshness.is_within(now, BLIND_AFTER);
            // A node without a record may not know of this one, and would not ask.
            let asked =
                members.iter().filter(|(name, member)| blind || own < *name || !member.listed);
            asked.map(|(name, member)| (name.clone(), member.record.peers)).collect()
        });
        endpoints.retain(|address, _| peers.iter().any(|(_, peer)| peer == address));
        // The same message goes to all: made anew for each, it would cost a node its number of peers.
        let encoded = rmp_serde::to_vec_named(&digest(&gateway));
        let message = encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain message"));
        for (_, address) in peers {
            let endpoint = endpoints.entry(address).or_insert_with(|| Arc::new(endpoint(address)));
            tokio::spawn(ask(Arc::clone(&gateway), Arc::clone(endpoint), message.clone()));
        }
    }
}

/// A `Reading` is the only reading of a configuration from another node, until it is dropped.
struct Reading {
    gateway: Arc<Gateway>,
    address: SocketAddr,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.gateway.with(|state| state.catch_up.end());
    }
}

async fn ask(gateway: Arc<Gateway>, endpoint: Arc<Endpoint>, message: Bytes) {
    let asked = clock::now();
    let told = call::<Digest>(&endpoint, DIGEST_PATH, message, DIGEST).await;
    // A node that does not answer is not heard any more, which its absence from the addresses and
    // the shares kept back for it show.
    let Ok(told) = told else { return };
    if let Some(reading) = hear(&gateway, Some(asked), told) {
        read_document(reading, &endpoint).await;
    }
}

async fn read_document(reading: Reading, endpoint: &Endpoint) {
    let found = call::<Document>(endpoint, DOCUMENT_PATH, Bytes::new(), DOCUMENT).await;
    meters::document_read(found.as_ref().err().map(|error| &error.fault));
    let Ok(found) = found else { return };
    if !found.bytes.is_empty() {
        take_config(&reading.gateway, &found.bytes, "node");
    }
}

fn endpoint(address: SocketAddr) -> Endpoint {
    let options =
        EndpointOptions { connect: CONNECT, answer: ANSWER, ..EndpointOptions::default() };
    Endpoint::new(address, options)
}

async fn call<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    message: Bytes,
    progress: Progress,
) -> Result<T, CallError> {
    let malformed = || CallError::unknown(CallFault::Malformed);
    let req = Request::post(path).body(Full::new(message));
    let answer = endpoint.send(req.map_err(|_| malformed())?).await?;
    let body = read_progressing(answer.into_body(), MESSAGE_LIMIT, progress).await;
    let body = body.map_err(|error| CallError::unknown(error.into()))?;
    rmp_serde::from_slice(&body).map_err(|_| malformed())
}

fn digest(gateway: &Gateway) -> Digest {
    let now = clock::now();
    let ready = gateway.is_ready();
    let revision = gateway.revision();
    gateway.with(|state| {
        let age = state.freshness.age(now);
        let mut loads = Vec::new();
        for (_, backend) in state.backends.iter_mut() {
            let parts = backend.recent.told(now);
            if !backend.own.is_empty() || !parts.is_empty() {
                let load = backend.own;
                loads.push(BackendLoad { backend: backend.name.to_string(), load, parts });
            }
        }
        Digest {
            node: gateway.settings.gateway.name.clone(),
            incarnation: gateway.incarnation,
            record: Some(gateway.record()),
            unlisted: state
                .members
                .unlisted(now)
                .map(|(name, record)| (name.clone(), record.clone()))
                .collect(),
            day_ms: as_millis(gateway.own_day()),
            ready,
            revision,
            config_age_ms: age.map(as_millis),
            records_steady_ms: state.records_steady_since.map(|since| as_millis(now.since(since))),
            quotas: state.quotas.iter().map(|(team, quota)| (team.clone(), quota.own())).collect(),
            asked: state
                .quotas
                .iter()
                .map(|(team, quota)| (team.clone(), quota.told(now).asked))
                .collect(),
            loads,
            usage: state.usage.of(gateway.incarnation),
            offered: state
                .demand
                .iter_mut()
                .map(|(service, demand)| (service.clone(), demand.rate(now)))
                .collect(),
            paces: state
                .observed
                .iter()
                .filter_map(|(service, observed)| Some((service.clone(), observed.engines.own()?)))
                .collect(),
        }
    })
}

// Takes in what a node told, no earlier than `since` where that is known; returns the reading of its
// configuration where that is due.
fn hear(gateway: &Arc<Gateway>, since: Option<Stamp>, told: Digest) -> Option<Reading> {
    let now = clock::now();
    let own = gateway.revision();
    let table = gateway.table.load_full();
    let document = table.as_ref().map(|table| table.document.len());
    gateway.with(|state| {
        if let Some(record) = told.record {
            state.members.introduce(&told.node, record);
        }
        let name = &gateway.settings.gateway.name;
        for (other, record) in told.unlisted.into_iter().filter(|(other, _)| other != name) {
            state.members.note_told(now, &other, record);
        }
        let Some(member) = state.members.get_mut(&told.node) else {
            meters::digest_ignored("unknown");
            return None;
        };
        if told.incarnation < member.record.incarnation {
            meters::digest_ignored("earlier_life");
            return None;
        }
        member.heard_at = Some(now);
        member.ready = told.ready;
        member.day_ahead = Some(told.day_ms as i64 - as_millis(gateway.own_day()) as i64);
        member.offered = told.offered.into_iter().collect();
        let address = member.record.peers;
        // Only who has the same configuration tells something about the age of this node's, and
        // only in an answer: a message may have been under way for long.
        if let (Some(since), Some(age)) = (since, told.config_age_ms)
            && told.revision == own
        {
            state.freshness.note(since - Duration::from_millis(age));
        }
        let steady = told.records_steady_ms.map(Duration::from_millis);
        if steady.is_some_and(|steady| STEADY_FOR <= steady) {
            state.backends.drop_missing();
        }
        for (service, pace) in told.paces {
            state.observed(&service).engines.hear(pace);
        }
        let asked: HashMap<TeamName, f64> = told.asked.into_iter().collect();
        for (team, total) in told.quotas {
            let asked = asked.get(&team).copied().unwrap_or(0.0);
            state.quota(&team).hear(now, told.incarnation, QuotaTold { total, asked });
        }
        for (window, counts) in told.usage {
            state.usage.merge(window, told.incarnation, &counts);
        }
        for (_, backend) in state.backends.iter_mut() {
            backend.unhear(told.incarnation);
        }
        for BackendLoad { backend, load, parts } in told.loads {
            let Some(backend) = state.backends.named_mut(&backend) else { continue };
            backend.hear(now, told.incarnation, load);
            let service =
                table.as_ref().and_then(|table| table.services.get(&backend.record.service));
            if let Some(sizes) = service.and_then(|service| service.engine) {
                backend.parts.note(now, &parts, sizes.remembered());
            }
        }
        state.catch_up.hear(now, own, told.revision);
        let patience = document.map_or(Duration::ZERO, patience);
        let patience = if state.config_lost { Duration::ZERO } else { patience };
        let is_due = state.catch_up.begin(now, own, told.revision, patience);
        is_due.then(|| Reading { gateway: Arc::clone(gateway), address })
    })
}

fn patience(document: usize) -> Duration {
    SERVICE_FIRST + Duration::from_secs_f64(document as f64 / SERVICE_RATE)
}

fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn encoded(message: &impl Serialize) -> Response<Body> {
    match rmp_serde::to_vec_named(message) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}
