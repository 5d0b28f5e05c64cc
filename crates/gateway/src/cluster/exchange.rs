//! The exchange of news between nodes.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{RelayOptions, RelayPeer, RelayRequested, Role};
use bulrushhall_core::{Event, NodeName, Stamp};
use bulrushhall_external::{
    CallError, CallFault,
    http::{BodyTimeouts, Endpoint, EndpointOptions, read_with_timeouts},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::{
    clock,
    cluster::{
        Digest, DigestScope, Document, Member,
        hear::{Reading, hear},
        take_config,
        tell::{Message, digest},
    },
    gateway::{Gateway, State},
    meters,
};

/// The time between two exchanges with each node: a burst is seen by all nodes before an engine has
/// read more than a few prompts.
const EACH: Duration = Duration::from_millis(250);
/// The time between two exchanges where news take three ways, through relays.
const EACH_BY_RELAYS: Duration = Duration::from_millis(200);
/// The rounds after which the standby of a zone is told.
const STANDBY_EACH: u64 = 2;
/// The age of the configuration from which a node asks all others: above what two watches take.
const BLIND_AFTER: Duration = Duration::from_millis(2_500);
/// The same for members, which learn it from relays.
const MEMBER_BLIND_AFTER: Duration = Duration::from_millis(3_200);
/// How many others such a node asks where news go through relays, beside these.
const BLIND_ASKS: usize = 6;
/// For how long a node that was asked as a relay acts as one.
const RELAY_FOR: Duration = Duration::from_millis(1_000);
/// How long the node of a pair that asks may be silent before the other one asks.
const ASKED_WITHIN: Duration = Duration::from_millis(700);
/// The longest time for opening a connection to a node.
const CONNECT: Duration = Duration::from_millis(250);
/// The longest time until a node answers.
pub const ANSWER: Duration = Duration::from_millis(700);
/// How a digest has to arrive: one that takes longer says nothing of this moment.
const DIGEST: BodyTimeouts = BodyTimeouts { idle: ANSWER, total: ANSWER };
/// How a configuration has to arrive.
const DOCUMENT: BodyTimeouts = BodyTimeouts { idle: ANSWER, total: Duration::from_secs(10) };
/// The largest message, in bytes: a configuration, with room to spare.
pub const MESSAGE_LIMIT: usize = 4 << 20;
/// Where digests are exchanged.
pub const DIGEST_PATH: &str = "/digest";
/// Where the configuration is read.
pub const DOCUMENT_PATH: &str = "/document";

/// An `Ask` is one message that is due to another node.
struct Ask {
    node: NodeName,
    address: SocketAddr,
    message: Message,
}

/// Exchanges news with other nodes for ever.
///
/// Up to a number of nodes each exchanges them with all others, above it through relays. Of two nodes the
/// one with the lower name asks, and both learn from one call. A node that lost the key-value service asks
/// more: how old its configuration is it learns from answers alone. A node that the service has no record
/// of is asked by all who know it, or by the relay of its zone.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut endpoints: HashMap<SocketAddr, Arc<Endpoint>> = HashMap::new();
    loop {
        let asks = gateway.with(|state| due(&gateway, state));
        // Not all are asked in each round; connections are kept as long as their nodes are known.
        gateway.with(|state| endpoints.retain(|address, _| state.members.has_port(*address)));
        // The same message goes to all: made anew for each, it would cost a node its number of peers.
        let mut encoded: BTreeMap<(DigestScope, DigestScope), Bytes> = BTreeMap::new();
        for Ask { address, message, .. } in asks {
            let bytes = match message.to {
                Some(_) => encode(&gateway, message),
                None => encoded
                    .entry((message.scope, message.reply_scope))
                    .or_insert_with(|| encode(&gateway, message))
                    .clone(),
            };
            let endpoint = endpoints.entry(address).or_insert_with(|| Arc::new(endpoint(address)));
            tokio::spawn(ask(Arc::clone(&gateway), Arc::clone(endpoint), bytes));
        }
        let is_flat = gateway.with(|state| state.relays.role) == Role::Flat;
        sleep(if is_flat { EACH } else { EACH_BY_RELAYS }).await;
    }
}

// The messages of one round.
fn due(gateway: &Gateway, state: &mut State) -> Vec<Ask> {
    let now = clock::now();
    state.exchanges += 1;
    state.members.expire(now);
    state.backends.expire(now);
    meters::members(state.members.count(), state.members.live_count(now));
    let members = &state.members;
    for quota in state.quotas.values_mut() {
        quota.retain(|peer| members.is_known(peer));
    }
    plan_relays(gateway, state, now);
    let is_member = state.relays.role == Role::Member;
    let blind_after = if is_member { MEMBER_BLIND_AFTER } else { BLIND_AFTER };
    let round = Round { gateway, now, blind: !state.freshness.is_within(now, blind_after) };
    let asks = round.asks(state);
    for Ask { node, .. } in &asks {
        if let Some(member) = state.members.get_mut(node) {
            member.unanswered_since.get_or_insert(now);
        }
    }
    asks
}

fn plan_relays(gateway: &Gateway, state: &mut State, now: Stamp) {
    let options = RelayOptions::default();
    let settings = &gateway.settings.gateway;
    let own = RelayPeer { node: &settings.name, zone: &settings.zone, silent: false };
    let others = state.members.iter().map(|(node, member)| RelayPeer {
        node,
        zone: &member.record.zone,
        silent: member.is_silent(now, options.silent_after),
    });
    let is_asked = state.relay_asked_at.is_some_and(|at| now.since(at) < RELAY_FOR);
    let plan =
        options.plan(own, others, if is_asked { RelayRequested::Yes } else { RelayRequested::No });
    meters::role(plan.role);
    if plan.role != state.relays.role {
        let (before, role) = (state.relays.role, plan.role);
        tracing::info!(event = Event::RoleChanged.number(), ?role, ?before);
        // What was told to the role before is about other sets of nodes.
        state.sources.clear();
        state.members.forget_offered();
        state.backends.iter_mut().for_each(|(_, backend)| backend.unhear_all());
        state.quotas.values_mut().for_each(|quota| quota.retain(|_| false));
    }
    state.relays = plan;
}

/// One round of the exchange.
struct Round<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    /// Whether this node does not know that its configuration is the newest.
    blind: bool,
}

impl Round<'_> {
    fn asks(&self, state: &State) -> Vec<Ask> {
        match state.relays.role {
            Role::Flat => self.flat_asks(state),
            Role::Member | Role::Relay => self.relayed_asks(state),
        }
    }

    fn flat_asks(&self, state: &State) -> Vec<Ask> {
        let own = &self.gateway.settings.gateway.name;
        let mut asks = Vec::new();
        for (node, member) in state.members.iter() {
            // A node without a record may not know of this one, and would not ask.
            if self.blind || own < node || !member.listed {
                asks.push(ask_of(node, member, DigestScope::Own, DigestScope::Own));
            }
        }
        asks
    }

    fn relayed_asks(&self, state: &State) -> Vec<Ask> {
        let is_relay = state.relays.role == Role::Relay;
        let own = &self.gateway.settings.gateway;
        let mut asks = Vec::new();
        for (node, member) in state.members.iter() {
            let is_near = member.record.zone == own.zone;
            if !is_relay && state.relays.near.contains(node) {
                asks.push(ask_of(node, member, DigestScope::Own, DigestScope::Others));
            } else if state.relays.near.contains(node) && self.asks_first(node, member) {
                asks.push(ask_of(node, member, DigestScope::Own, DigestScope::Own));
            } else if state.relays.far.contains(node) && self.asks_first(node, member) {
                asks.push(ask_of(node, member, DigestScope::Zone, DigestScope::Zone));
            } else if is_relay && is_near && !member.listed {
                // It may not know of any relay.
                let mut ask = ask_of(node, member, DigestScope::Others, DigestScope::Own);
                ask.message.to = Some(member.record.incarnation);
                asks.push(ask);
            }
        }
        if let Some(ask) = self.standby_ask(state, &asks) {
            asks.push(ask);
        }
        if self.blind {
            let all: Vec<_> = state.members.iter().collect();
            for (node, member) in all.sample(&mut rand::rng(), BLIND_ASKS) {
                if asks.iter().all(|ask| ask.node != **node) {
                    asks.push(ask_of(node, member, DigestScope::Nothing, DigestScope::Nothing));
                }
            }
        }
        asks
    }

    // Each second round the standby of the zone is told what its relay is told.
    fn standby_ask(&self, state: &State, asks: &[Ask]) -> Option<Ask> {
        let standby = state.relays.standby.as_ref()?;
        let is_asked = asks.iter().any(|ask| ask.node == *standby);
        if is_asked || !state.exchanges.is_multiple_of(STANDBY_EACH) {
            return None;
        }
        let member = state.members.get(standby)?;
        Some(ask_of(standby, member, DigestScope::Own, DigestScope::Nothing))
    }

    fn asks_first(&self, node: &NodeName, member: &Member) -> bool {
        let heard = member.direct_at.is_some_and(|at| self.now.since(at) < ASKED_WITHIN);
        self.gateway.settings.gateway.name < *node || !heard
    }
}

fn ask_of(node: &NodeName, member: &Member, scope: DigestScope, reply_scope: DigestScope) -> Ask {
    let message = Message { scope, reply_scope, to: None };
    Ask { node: node.clone(), address: member.record.peers, message }
}

fn encode(gateway: &Gateway, message: Message) -> Bytes {
    let encoded = rmp_serde::to_vec_named(&digest(gateway, message));
    encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain message"))
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

/// Reads the configuration of another node and puts it in force.
pub async fn read_document(reading: Reading, endpoint: &Endpoint) {
    let found = call::<Document>(endpoint, DOCUMENT_PATH, Bytes::new(), DOCUMENT).await;
    meters::document_read(found.as_ref().err().map(|error| &error.fault));
    let Ok(found) = found else { return };
    if !found.bytes.is_empty() {
        take_config(&reading.gateway, &found.bytes, "node");
    }
}

/// Returns the way to a node.
pub fn endpoint(address: SocketAddr) -> Endpoint {
    let options = EndpointOptions {
        connect_timeout: CONNECT,
        response_timeout: ANSWER,
        ..EndpointOptions::default()
    };
    Endpoint::new(address, options)
}

async fn call<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    message: Bytes,
    progress: BodyTimeouts,
) -> Result<T, CallError> {
    let malformed = || CallError::unknown(CallFault::Malformed);
    let req = Request::post(path).body(Full::new(message));
    let answer = endpoint.send(req.map_err(|_| malformed())?).await?;
    let body = read_with_timeouts(answer.into_body(), MESSAGE_LIMIT, progress).await;
    let body = body.map_err(|error| CallError::unknown(error.into()))?;
    rmp_serde::from_slice(&body).map_err(|_| malformed())
}
