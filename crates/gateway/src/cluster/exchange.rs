//! Gossip: the periodic exchange of digests between nodes.

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

/// The gossip interval without relays: all nodes see a burst before an engine has prefilled more than a
/// few prompts.
const EACH: Duration = Duration::from_millis(250);
/// The gossip interval with relays: it is shorter because updates take three hops.
const EACH_BY_RELAYS: Duration = Duration::from_millis(200);
/// The rounds between two digests to the standby relay of a zone.
const STANDBY_EACH: u64 = 2;
/// The age of the configuration from which a node contacts all others: more than two watches take.
const BLIND_AFTER: Duration = Duration::from_millis(2_500);
/// The same age for members, which learn the age of their configuration through relays.
const MEMBER_BLIND_AFTER: Duration = Duration::from_millis(3_200);
/// The number of additional nodes that such a node contacts when relays are in use.
const BLIND_ASKS: usize = 6;
/// How long a node that was contacted as a relay acts as one.
const RELAY_FOR: Duration = Duration::from_millis(1_000);
/// How long the initiating node of a pair may be silent before the other one contacts it.
const ASKED_WITHIN: Duration = Duration::from_millis(700);
/// The timeout for opening a connection to a node.
const CONNECT: Duration = Duration::from_millis(250);
/// The timeout for a response of a node.
pub const ANSWER: Duration = Duration::from_millis(700);
/// The time limits of a digest: one that takes longer is outdated on arrival.
const DIGEST: BodyTimeouts = BodyTimeouts { idle: ANSWER, total: ANSWER };
/// The time limits of a configuration.
const DOCUMENT: BodyTimeouts = BodyTimeouts { idle: ANSWER, total: Duration::from_secs(10) };
/// The maximum size of a message, in bytes: that of a configuration, with a margin.
pub const MESSAGE_LIMIT: usize = 4 << 20;
/// The path to which digests are sent.
pub const DIGEST_PATH: &str = "/digest";
/// The path from which the configuration is fetched.
pub const DOCUMENT_PATH: &str = "/document";

/// An `Ask` is one digest that is due to another node, which replies with its own.
struct Ask {
    node: NodeName,
    address: SocketAddr,
    message: Message,
}

/// Exchanges digests with other nodes forever.
///
/// Up to a number of nodes, each node exchanges digests with all others; above it they go through relays.
/// Of two nodes the one with the lower name initiates the exchange, which updates both. A node that lost
/// the key-value service initiates more exchanges, because only replies tell it how old its configuration
/// is. A node without a record in the service is contacted by all nodes that know it, or by the relay of
/// its zone.
pub async fn exchange(gateway: Arc<Gateway>) {
    let mut endpoints: HashMap<SocketAddr, Arc<Endpoint>> = HashMap::new();
    loop {
        let asks = gateway.with(|state| due(&gateway, state));
        // Not every node is contacted in each round; connections are kept while their nodes are known.
        gateway.with(|state| endpoints.retain(|address, _| state.members.has_port(*address)));
        // The same digest goes to all nodes. It is encoded once, as the cost would otherwise grow with
        // the number of peers.
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

// Returns the exchanges that this node initiates in one round.
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
        // Aggregates that were received in the previous role are about other sets of nodes.
        state.sources.clear();
        state.members.forget_offered();
        state.backends.iter_mut().for_each(|(_, backend)| backend.unhear_all());
        state.quotas.values_mut().for_each(|quota| quota.retain(|_| false));
    }
    state.relays = plan;
}

/// One round of gossip.
struct Round<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    /// Whether this node's configuration is not known to be the newest.
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
            // A node without a record may not know this one, so it would not initiate the exchange.
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
                // It may not know any relay.
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

    // In every second round the standby relay of the zone gets the digest that its relay gets.
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
    // An error needs no handling: a node that does not respond misses its heartbeat timeout, which
    // removes it from the callers' addresses and reserves its share of quotas.
    let Ok(told) = told else { return };
    if let Some(reading) = hear(&gateway, Some(asked), told) {
        read_document(reading, &endpoint).await;
    }
}

/// Fetches the configuration of another node and activates it.
pub async fn read_document(reading: Reading, endpoint: &Endpoint) {
    let found = call::<Document>(endpoint, DOCUMENT_PATH, Bytes::new(), DOCUMENT).await;
    meters::document_read(found.as_ref().err().map(|error| &error.fault));
    let Ok(found) = found else { return };
    if !found.bytes.is_empty() {
        take_config(&reading.gateway, &found.bytes, "node");
    }
}

/// Returns the endpoint of a node.
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
