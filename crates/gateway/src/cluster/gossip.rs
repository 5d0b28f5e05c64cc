//! Gossip: the periodic exchange of digests between nodes.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{
    Contact, RelayOptions, RelayPeer, RelayRanking, RelayRequested, Role, decode_message,
};
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
    announcements::plan_limits,
    brittle::plan_rooms,
    clock,
    cluster::{
        Digest, DigestScope, Document, Member, activate_config,
        advertise::{DigestOptions, build_digest},
        receive::{DocumentFetch, receive_digest},
    },
    crashes::plan_blocks,
    gateway::{Gateway, State},
    meters,
    prefix_homes::exchange_prefixes,
    random,
    reachability::probe_lost,
    reported_facts::set_own,
    retries::note_members,
    server_speeds::exchange_speeds,
    speed_settings::SpeedSource,
    startup::Stage,
    streams::{note_touch, note_versions},
};

/// The gossip interval without relays: all nodes see a burst before an engine has prefilled more than a
/// few prompts.
const INTERVAL: Duration = Duration::from_millis(250);
/// The gossip interval with relays: it is shorter because updates take three hops.
const RELAYED_INTERVAL: Duration = Duration::from_millis(200);
/// The gossip interval with relays at the start of a node, while other nodes don't know of it. Without relays a report
/// takes one round and needs no shorter ones.
const FIRST_RELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// The rounds between two digests to the standby relay of a zone.
const STANDBY_INTERVAL: u64 = 2;
/// The age of the configuration from which a node contacts all others: more than two watches take.
const STALE_AFTER: Duration = Duration::from_millis(2_500);
/// The same age for members, which learn the age of their configuration through relays.
const MEMBER_STALE_AFTER: Duration = Duration::from_millis(3_200);
/// The number of additional nodes that such a node contacts when relays are in use.
const STALE_EXCHANGES: usize = 6;
/// How long a node that was contacted as a relay acts as one.
const RELAY_ROLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the initiating node of a pair may be silent before the other one contacts it.
const INITIATOR_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout for opening a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The timeout for a response of a node.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The time limits of a digest: one that takes longer is outdated on arrival.
pub const DIGEST_TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: RESPONSE_TIMEOUT, total: RESPONSE_TIMEOUT };
/// The time limits of a configuration.
const DOCUMENT_TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: RESPONSE_TIMEOUT, total: Duration::from_secs(10) };
/// The maximum size of a message, in bytes: that of a configuration, with a margin.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The path to which digests are sent.
pub const DIGEST_PATH: &str = "/digest";
/// The path from which the configuration is fetched.
pub const DOCUMENT_PATH: &str = "/document";

/// An `Exchange` is one digest that is due to another node, which replies with its own.
struct Exchange {
    node: NodeName,
    address: SocketAddr,
    options: DigestOptions,
}

/// Exchanges digests with other nodes forever.
///
/// Up to a number of nodes, each node exchanges digests with all others; above it they go through relays.
/// Of two nodes the one with the lower name initiates the exchange, which updates both. A node that can't
/// reach the key-value service initiates more exchanges, because it learns the age of its configuration
/// only from replies. A node without a record in the service is contacted by all nodes that know it, or
/// by the relay of its zone.
pub async fn gossip(gateway: Arc<Gateway>) {
    let mut endpoints: HashMap<SocketAddr, Arc<Endpoint>> = HashMap::new();
    loop {
        let digests = due_digests(&gateway);
        // Not every node is contacted in each round; connections are kept while their nodes are known.
        gateway
            .with(|state| endpoints.retain(|address, _| state.members.has_peer_address(*address)));
        for (address, digest) in digests {
            let endpoint = endpoints.entry(address).or_insert_with(|| Arc::new(endpoint(address)));
            tokio::spawn(run_exchange(Arc::clone(&gateway), Arc::clone(endpoint), digest));
        }
        probe_lost(&gateway);
        sleep(round_interval(&gateway)).await;
    }
}

/// Begins a round of gossip; returns the encoded digests that are due in it, with the addresses of their receivers.
pub fn due_digests(gateway: &Gateway) -> Vec<(SocketAddr, Bytes)> {
    let is_ready = gateway.is_ready();
    let exchanges = gateway.with(|state| {
        note_start(state, is_ready);
        due_exchanges(gateway, state)
    });
    // The same digest goes to all nodes. It is encoded once, as the cost would otherwise grow with
    // the number of peers.
    let mut encoded: BTreeMap<(DigestScope, DigestScope), Bytes> = BTreeMap::new();
    let mut digests = Vec::new();
    for Exchange { address, options, .. } in exchanges {
        let bytes = match options.to {
            Some(_) => encode(gateway, options),
            None => encoded
                .entry((options.scope, options.reply_scope))
                .or_insert_with(|| encode(gateway, options))
                .clone(),
        };
        digests.push((address, bytes));
    }
    digests
}

/// Returns the time until the next round of gossip.
pub fn round_interval(gateway: &Gateway) -> Duration {
    gateway.with(|state| {
        if state.relays.role == Role::Flat {
            return INTERVAL;
        }
        let is_short = state.startup.has_short_rounds(clock::now());
        if is_short { FIRST_RELAYED_INTERVAL } else { RELAYED_INTERVAL }
    })
}

fn note_start(state: &mut State, is_ready: bool) {
    let now = clock::now();
    if is_ready {
        state.startup.note(now, Stage::Ready);
    }
    if 1 < state.members.count() {
        state.startup.note(now, Stage::PeerKnown);
    }
    state.startup.log_if_due(now);
}

// Returns the exchanges that this node initiates in one round.
fn due_exchanges(gateway: &Gateway, state: &mut State) -> Vec<Exchange> {
    let now = clock::now();
    state.gossip_rounds += 1;
    state.members.expire(now);
    state.backends.expire(now);
    meters::members(state.members.count(), state.members.live_count(now));
    let members = &state.members;
    for quota in state.quotas.values_mut() {
        quota.retain(|peer| members.is_known(peer));
    }
    state.watches.retain(|node| members.get(node).is_some());
    state.streams.confirmations.retain(|node| members.is_known(node));
    // An earlier incarnation of a restarted node would count beside the current one.
    state.facts.retain(|peer| members.is_known(peer));
    note_members(gateway, state, now);
    set_own(state, now);
    if state.speed_source == SpeedSource::AllNodes {
        exchange_speeds(state, now);
    }
    if state.prefixes.by_demand {
        exchange_prefixes(state, now);
    }
    note_versions(state, now);
    note_touch(state, now);
    plan_relays(gateway, state, now);
    plan_limits(state, &gateway.settings.gateway.name);
    plan_rooms(state, &gateway.settings.gateway.name);
    plan_blocks(gateway, state, now);
    let is_member = state.relays.role == Role::Member;
    let stale_after = if is_member { MEMBER_STALE_AFTER } else { STALE_AFTER };
    let round = Round { gateway, now, is_stale: !state.freshness.is_within(now, stale_after) };
    let exchanges = round.exchanges(state);
    for Exchange { node, .. } in &exchanges {
        if let Some(member) = state.members.get_mut(node) {
            member.unanswered_since.get_or_insert(now);
        }
    }
    exchanges
}

fn plan_relays(gateway: &Gateway, state: &mut State, now: Stamp) {
    let options = RelayOptions::default();
    let settings = &gateway.settings.gateway;
    let own = RelayPeer {
        node: &settings.name,
        zone: &settings.zone,
        contact: Contact::Responsive,
        weight: gateway.settings.capacity.weight(),
        ranking: RelayRanking::Weight,
    };
    let others = state.members.iter().map(|(node, member)| RelayPeer {
        node,
        zone: &member.record.zone,
        contact: contact_of(member, now, &options),
        weight: member.record.weight,
        ranking: member.record.relay_ranking,
    });
    let is_contacted =
        state.contacted_as_relay_at.is_some_and(|at| now.since(at) < RELAY_ROLE_TIMEOUT);
    let plan = options.plan(
        own,
        others,
        if is_contacted { RelayRequested::Yes } else { RelayRequested::No },
    );
    meters::role(plan.role);
    if plan.role != state.relays.role {
        let (before, role) = (state.relays.role, plan.role);
        tracing::info!(event = Event::RoleChanged.number(), ?role, ?before);
        // Aggregates that were received in the previous role are about other sets of nodes.
        state.sources.clear();
        if before == Role::Flat || role == Role::Flat {
            // The sums of availability zones would count beside the facts of their nodes. Between the other
            // roles the facts stay until those of the new role are known.
            state.facts.forget_all();
        }
        state.backends.iter_mut().for_each(|(_, backend)| backend.clear_all_reported());
        state.quotas.values_mut().for_each(|quota| quota.retain(|_| false));
    }
    state.relays = plan;
}

fn contact_of(member: &Member, now: Stamp, options: &RelayOptions) -> Contact {
    let (contact, silent_after) = match member.last_received {
        Some(_) => (Contact::Responsive, options.silent_after),
        None => (Contact::Unheard, options.unheard_silent_after),
    };
    if member.is_silent(now, silent_after) { Contact::Silent } else { contact }
}

/// One round of gossip.
struct Round<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    /// Whether this node's configuration is not known to be the newest.
    is_stale: bool,
}

impl Round<'_> {
    fn exchanges(&self, state: &State) -> Vec<Exchange> {
        match state.relays.role {
            Role::Flat => self.flat_exchanges(state),
            Role::Member | Role::Relay => self.relayed_exchanges(state),
        }
    }

    fn flat_exchanges(&self, state: &State) -> Vec<Exchange> {
        let own = &self.gateway.settings.gateway.name;
        let mut exchanges = Vec::new();
        for (node, member) in state.members.iter() {
            // A node without a record may not know this one, so it would not initiate the exchange.
            if self.is_stale || own < node || !member.listed {
                exchanges.push(exchange_with(node, member, DigestScope::Own, DigestScope::Own));
            }
        }
        exchanges
    }

    fn relayed_exchanges(&self, state: &State) -> Vec<Exchange> {
        let is_relay = state.relays.role == Role::Relay;
        let own = &self.gateway.settings.gateway;
        let mut exchanges = Vec::new();
        for (node, member) in state.members.iter() {
            let is_same_zone = member.record.zone == own.zone;
            if !is_relay && state.relays.same_zone.contains(node) {
                exchanges.push(exchange_with(node, member, DigestScope::Own, DigestScope::Others));
            } else if state.relays.same_zone.contains(node) && self.initiates(node, member) {
                exchanges.push(exchange_with(node, member, DigestScope::Own, DigestScope::Own));
            } else if state.relays.other_zones.contains(node) && self.initiates(node, member) {
                exchanges.push(exchange_with(node, member, DigestScope::Zone, DigestScope::Zone));
            } else if is_relay && is_same_zone && !member.listed {
                // It may not know any relay.
                let mut exchange =
                    exchange_with(node, member, DigestScope::Others, DigestScope::Own);
                exchange.options.to = Some(member.record.incarnation);
                exchanges.push(exchange);
            }
        }
        if let Some(exchange) = self.standby_exchange(state, &exchanges) {
            exchanges.push(exchange);
        }
        if self.is_stale {
            let all: Vec<_> = state.members.iter().collect();
            for (node, member) in all.sample(&mut random::rng(), STALE_EXCHANGES) {
                if exchanges.iter().all(|exchange| exchange.node != **node) {
                    exchanges.push(exchange_with(
                        node,
                        member,
                        DigestScope::Nothing,
                        DigestScope::Nothing,
                    ));
                }
            }
        }
        exchanges
    }

    // In every second round the standby relay of the zone gets the digest that its relay gets.
    fn standby_exchange(&self, state: &State, exchanges: &[Exchange]) -> Option<Exchange> {
        let standby = state.relays.standby.as_ref()?;
        let is_contacted = exchanges.iter().any(|exchange| exchange.node == *standby);
        if is_contacted || !state.gossip_rounds.is_multiple_of(STANDBY_INTERVAL) {
            return None;
        }
        let member = state.members.get(standby)?;
        Some(exchange_with(standby, member, DigestScope::Own, DigestScope::Nothing))
    }

    fn initiates(&self, node: &NodeName, member: &Member) -> bool {
        let received = member.last_direct.is_some_and(|at| self.now.since(at) < INITIATOR_TIMEOUT);
        self.gateway.settings.gateway.name < *node || !received
    }
}

fn exchange_with(
    node: &NodeName,
    member: &Member,
    scope: DigestScope,
    reply_scope: DigestScope,
) -> Exchange {
    let options = DigestOptions { scope, reply_scope, to: None };
    Exchange { node: node.clone(), address: member.record.peers, options }
}

fn encode(gateway: &Gateway, options: DigestOptions) -> Bytes {
    let encoded = rmp_serde::to_vec_named(&build_digest(gateway, options));
    encoded.map(Bytes::from).unwrap_or_else(|_| unreachable!("a plain message"))
}

async fn run_exchange(gateway: Arc<Gateway>, endpoint: Arc<Endpoint>, message: Bytes) {
    let requested_at = clock::now();
    let digest = call::<Digest>(&endpoint, DIGEST_PATH, message, DIGEST_TIMEOUTS).await;
    // An error needs no handling: a node that does not respond misses its heartbeat timeout, which
    // removes it from the callers' addresses and reserves its share of quotas.
    let Ok(digest) = digest else { return };
    if let Some(fetch) = receive_digest(&gateway, Some(requested_at), digest) {
        fetch_document(fetch, &endpoint).await;
    }
}

/// Fetches the configuration of another node and activates it.
pub async fn fetch_document(fetch: DocumentFetch, endpoint: &Endpoint) {
    let found = call::<Document>(endpoint, DOCUMENT_PATH, Bytes::new(), DOCUMENT_TIMEOUTS).await;
    meters::document_read(found.as_ref().err().map(|error| &error.fault));
    let Ok(found) = found else { return };
    if !found.bytes.is_empty() {
        activate_config(&fetch.gateway, &found.bytes, "node");
    }
}

/// Returns the endpoint of a node.
pub fn endpoint(address: SocketAddr) -> Endpoint {
    let options = EndpointOptions {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: RESPONSE_TIMEOUT,
        ..EndpointOptions::default()
    };
    Endpoint::new(address, options)
}

/// Sends an encoded message to a node and returns its reply.
pub async fn call<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    message: Bytes,
    timeouts: BodyTimeouts,
) -> Result<T, CallError> {
    let malformed = || CallError::unknown(CallFault::Malformed);
    let req = Request::post(path).body(Full::new(message));
    let response = endpoint.send(req.map_err(|_| malformed())?).await?;
    let body = read_with_timeouts(response.into_body(), MAX_MESSAGE_BYTES, timeouts).await;
    let body = body.map_err(|error| CallError::unknown(error.into()))?;
    decode_message(&body).map_err(|_| malformed())
}
