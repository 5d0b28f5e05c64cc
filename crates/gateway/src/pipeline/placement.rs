//! Placement of a request on a backend server, or its immediate refusal.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_coord::{Role, streams::StreamOrigin};
use bulrushhall_core::{NodeName, ServiceName, Stamp, ZoneName, config::RouteKind};
use bulrushhall_policy::{
    copy_source::{MIN_COPIED_TOKENS, SourceView, choose_source, max_cached_tokens},
    engine_choice::{
        EngineChoice, EngineRequest, EngineSpeeds, EngineView, Homes, choose_engine,
        choose_engine_at_homes, choose_engine_by_speed,
    },
    latency_budget::LatencyBudget,
    placement::WorkerKey,
    prefix_homes::DemandHomes,
    rollout::Track,
    server_choice::{
        CallAim, CallSpeed, CallSpeeds, ServerView, choose_server, choose_server_by_speed,
    },
    server_room::room_owners,
};
use rand::{Rng, RngExt, seq::IteratorRandom};

use crate::{
    adapter::Prompt,
    backends::{Backend, Pool},
    brittle::node_hash,
    clock,
    cluster::Member,
    demand::Offered,
    gateway::{Gateway, State},
    meters,
    pipeline::{
        Failure,
        identify::IdentifiedRequest,
        in_flight::Footprint,
        queueing::{NotPlaced, Queueing},
        tried::TriedServers,
    },
    prefix_homes::PrefixUse,
    reported_facts::offered_by_others,
    rollouts::{AnswerKey, VersionFilter},
    speed_settings::SpeedSource,
    streams::held_for,
    table::{EngineSizes, ServiceEntry},
};

/// The one-way network latency that is assumed to a server in another availability zone, as is typical
/// of the supported deployments.
const OTHER_ZONE_LATENCY: Duration = Duration::from_millis(1);

/// The average age of what other nodes reported: half of the gossip interval.
const REPORT_AGE: Duration = Duration::from_millis(130);
/// The average age of what relays passed on: half of the gossip interval for each of three hops.
const RELAYED_REPORT_AGE: Duration = Duration::from_millis(320);

/// The maximum number of connections to a node that carries requests: each is busy for as long as a response.
const MAX_CARRIER_CONNECTIONS: u32 = 256;

/// The retry delay of a request for which brittle servers have no room: their requests end within this order of time.
pub const BRITTLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The weight of a first token as a sample of an engine's speed if its work is not known exactly.
const QUEUED_WEIGHT: f64 = 0.25;

/// The shortest retry delay of a request that no server accepts now.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A `Placement` is the backend server that was chosen for an attempt.
#[derive(Clone)]
pub struct Placement {
    /// The backend server.
    pub key: WorkerKey,
    /// Its name.
    pub name: Arc<str>,
    /// Its start time.
    pub born: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// The version of its software.
    pub version: Arc<str>,
    /// The connections over which the request is sent: to the server, or to the node that carries it.
    pub pool: Arc<Pool>,
    /// The maximum number of these connections.
    pub connections: u32,
    /// The node that carries the request, if this one has no way to the server.
    pub carrier: Option<NodeName>,
    /// The resources that the request uses there.
    pub footprint: Footprint,
    /// The engine from whose prefix cache it copies the parts of the prompt that it lacks.
    pub copy_from: Option<SocketAddr>,
    /// The expected queueing time.
    pub wait: Duration,
    /// The 95th percentile of the call times, at a plain service.
    pub p95_call: Duration,
    /// The server's own time as a multiple of what its service's model expects.
    pub speed: f64,
    /// The number of backend servers that it was chosen from.
    pub candidates: usize,
    /// The expected time to the first byte.
    pub expected: Duration,
    /// Where the answer is counted, if a version of the service is being rolled out.
    pub answer_key: Option<AnswerKey>,
}

/// A `PlacementQuery` is what the choice of a backend server is based on.
#[derive(Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The request.
    pub req: &'a IdentifiedRequest,
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// The backend servers that it was sent to already.
    pub tried: &'a TriedServers,
    /// The time until its deadline.
    pub left: Duration,
    /// The version of the service that it goes to, if one is being rolled out.
    pub track: Track,
    /// How it gets to the backend server.
    pub way: Way,
    /// Where the stream began that it continues, if it continues one.
    pub origin: Option<&'a StreamOrigin>,
    /// Whether it may be queued.
    pub queueing: Queueing,
}

/// A `Way` is how a request gets to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Over a connection of this node, unless it has lost its way to the service.
    Own,
    /// Over another node if one can carry it.
    Carried,
}

/// Chooses a backend server that the request was not sent to yet, or refuses the request.
pub fn place(gateway: &Gateway, query: PlacementQuery<'_>) -> Result<Placement, NotPlaced> {
    let entry = query.req.table.services.get(query.service).ok_or(Failure::NoBackend)?;
    let zone = &gateway.settings.gateway.zone;
    gateway.with(|state| {
        let query = PlacementQuery { way: query.effective_way(state), ..query };
        let query = PlacementQuery { queueing: query.effective_queueing(state), ..query };
        let placed = query.place(state, entry, zone);
        // The current version takes what the target version can't.
        match (placed, query.track) {
            (Err(_), Track::Target) => {
                PlacementQuery { track: Track::Current, ..query }.place(state, entry, zone)
            }
            (placed, _) => placed,
        }
    })
}

/// A choice of a backend server.
struct Chosen {
    key: WorkerKey,
    wait: Duration,
    footprint: Footprint,
    copy_from: Option<SocketAddr>,
    candidates: usize,
}

impl PlacementQuery<'_> {
    fn place(
        &self,
        state: &mut State,
        entry: &ServiceEntry,
        zone: &ZoneName,
    ) -> Result<Placement, NotPlaced> {
        let now = clock::now();
        let filter = self.filter(state, now);
        let chosen = match (entry.engine, &self.req.call.prompt) {
            (Some(sizes), Some(prompt)) => {
                self.choose_engine_server(state, zone, sizes, prompt, &filter)?
            }
            _ => self.choose_plain_server(state, zone, &filter)?,
        };
        Ok(self.placement(state, entry, chosen)?)
    }

    fn filter(&self, state: &State, now: Stamp) -> VersionFilter {
        let State { rollouts, backends, .. } = state;
        match self.origin {
            Some(origin) => rollouts.bound_filter(now, self.service, &origin.version, backends),
            None => {
                let filter = rollouts.filter(now, self.service, self.track, backends);
                self.without_new_versions(state, now, filter)
            }
        }
    }

    // Leaves out the versions that other nodes may not know yet, unless there never was another: a node that knows of one
    // version only takes all streams to have begun there.
    fn without_new_versions(
        &self,
        state: &State,
        now: Stamp,
        filter: VersionFilter,
    ) -> VersionFilter {
        if self.req.route.cfg.kind != RouteKind::ResumableStream {
            return filter;
        }
        let mut versions: Vec<&str> = Vec::new();
        for (_, backend) in state.backends.accepting(self.service) {
            let version = backend.record.version.as_str();
            if filter.selects(version, backend.identity) && !versions.contains(&version) {
                versions.push(version);
            }
        }
        let known = &state.streams.versions;
        let is_settled = |version: &&str| known.is_settled(now, self.service, version);
        let (settled, mut unsettled): (Vec<&str>, Vec<&str>) =
            versions.into_iter().partition(is_settled);
        if settled.is_empty() {
            unsettled.retain(|version| held_for(state, now, self.service, version).is_some());
        }
        if unsettled.is_empty() {
            return filter;
        }
        filter.without(unsettled.into_iter().map(str::to_owned).collect())
    }

    // Returns how long no version gets new streams, if that is why there is no server.
    fn held_for(&self, state: &State, now: Stamp) -> Option<Duration> {
        if self.req.route.cfg.kind != RouteKind::ResumableStream {
            return None;
        }
        let accepting = state.backends.accepting(self.service);
        let held = accepting
            .filter_map(|(_, backend)| held_for(state, now, self.service, &backend.record.version));
        held.min()
    }

    fn choose_engine_server(
        &self,
        state: &mut State,
        zone: &ZoneName,
        sizes: EngineSizes,
        prompt: &Prompt,
        filter: &VersionFilter,
    ) -> Result<Chosen, NotPlaced> {
        let now = clock::now();
        let rank = self.req.rank();
        let (mut views, mut pauses, mut ages) = (Vec::new(), Vec::new(), Vec::new());
        for (key, backend) in self.untried(state, filter) {
            pauses.push(backend.speed.pause.factor());
            ages.push(now.since(backend.known_since));
            views.push(EngineView {
                key,
                identity: backend.identity,
                slots: sizes.slots,
                memory: sizes.memory,
                requests: backend.requests(now),
                waiting_tokens: backend.waiting_before(now, rank),
                held_tokens: backend.held(now),
                cached: backend.parts.cached(&prompt.parts),
                slowness: backend.slowness(state.speed_source),
                network_latency: network_latency(zone, backend),
                failure_rate: backend.circuit_breaker.failure_rate(),
                circuit_open: backend.circuit_breaker.is_open(now),
            });
        }
        let sources = self.sources(state, sizes, prompt, filter);
        let wanted = EngineRequest {
            parts: &prompt.parts,
            prompt_tokens: prompt.tokens,
            answer_tokens: prompt.answer(),
            cached_elsewhere: max_cached_tokens(&sources),
            copied_per_ms: sizes.copied_per_ms,
            model: state.observed(self.service).engines.model(),
            unseen_tokens: self.unseen_tokens(state),
        };
        let max_pause = self.latency_budget().max_gap;
        let speeds = EngineSpeeds { pauses: &pauses, max_pause };
        let prefix_use = PrefixUse { service: self.service, prompt, sizes };
        if self.tried.is_empty() && self.queueing != Queueing::Started {
            prefix_use.note(state, now);
        }
        let homes = prefix_use.homes(state, now, &views, &ages);
        let mut random = rand::rng();
        let chosen = match (state.speed_source, &homes) {
            (SpeedSource::OwnRequests, Some(homes)) => choose_engine_at_homes(
                wanted,
                &views,
                EngineSpeeds::default(),
                Homes::ByDemand(homes),
                &mut random,
            ),
            (SpeedSource::AllNodes, Some(homes)) => {
                let homes = Homes::ByDemand(homes);
                choose_engine_at_homes(wanted, &views, speeds, homes, &mut random)
            }
            (SpeedSource::OwnRequests, None) => choose_engine(wanted, &views, &mut random),
            (SpeedSource::AllNodes, None) => {
                choose_engine_by_speed(wanted, &views, speeds, &mut random)
            }
        };
        let Some(chosen) = chosen else {
            self.check_engines(state, sizes, prompt)?;
            return Err(self.unavailable(state, filter, &mut random).into());
        };
        if self.tried.is_empty() {
            // A refused request counts as demand too: otherwise an overloaded fleet would never grow.
            if self.queueing != Queueing::Started {
                let demand = state.demand.entry(self.service.clone()).or_default();
                let (read, answer) = (f64::from(chosen.prefill_tokens), f64::from(prompt.answer()));
                demand.note(now, Offered { read, answer });
            }
            self.check_shortage(state, sizes, prompt, &chosen)?;
            if self.queueing != Queueing::Started {
                self.check_wait(chosen.wait, &mut random)?;
            }
        }
        if chosen.copy_avoided {
            meters::copy_avoided();
        }
        let is_copied = homes.is_none() || 0 < chosen.copied;
        let copy_from = is_copied.then(|| copy_from(state, chosen, sources)).flatten();
        let source = state.speed_source;
        let backend = state.backends.get_mut(chosen.key).ok_or(Failure::NoBackend)?;
        backend.parts.note(now, &prompt.parts, sizes.prefix_cache_tokens());
        backend.recent.note(now, prompt.shared_parts());
        let slowness = backend.slowness(source);
        let share = |homes: &DemandHomes| {
            let at = views.iter().position(|view| view.key == chosen.key)?;
            Some(homes.share(at))
        };
        let is_assumed = chosen.wait.is_zero()
            && chosen.cached + chosen.copied == 0
            && homes.as_ref().and_then(share).is_some_and(|share| 0.0 < share);
        let unqueued =
            chosen.wait.is_zero() && chosen.prefill_tokens + chosen.cached == prompt.tokens;
        let footprint = Footprint {
            rank,
            prefill_tokens: chosen.prefill_tokens,
            held: prompt.tokens + prompt.answer(),
            expected: Some(chosen.first_token),
            usual: chosen.first_token.div_f64(slowness),
            speed_weight: speed_weight(&chosen, unqueued),
            assumed: is_assumed.then(|| prefix_use.assumed_cache(&wanted.model, slowness)),
            // If a part of the prompt may be copied or is only assumed to be cached, it is not known
            // how many tokens the engine prefills.
            unqueued,
        };
        let (key, wait, candidates) = (chosen.key, chosen.wait, views.len());
        Ok(Chosen { key, wait, footprint, copy_from, candidates })
    }

    // The prompt tokens that other nodes have sent since they reported their loads.
    fn unseen_tokens(&self, state: &State) -> f64 {
        let per_second = offered_by_others(state, clock::now(), self.service).read;
        let age = if state.relays.role == Role::Flat { REPORT_AGE } else { RELAYED_REPORT_AGE };
        per_second * age.as_secs_f64()
    }

    // The engines that cache enough of the prompt to be copied from; none if engines can't copy.
    fn sources(
        &self,
        state: &State,
        sizes: EngineSizes,
        prompt: &Prompt,
        filter: &VersionFilter,
    ) -> Vec<SourceView> {
        let mut sources = Vec::new();
        if sizes.copied_per_ms <= 0.0 {
            return sources;
        }
        let now = clock::now();
        for (key, backend) in state.backends.copy_sources(self.service) {
            // What one version has cached is of no use to another.
            if !filter.selects(&backend.record.version, backend.identity) {
                continue;
            }
            let cached = backend.parts.cached(&prompt.parts);
            if cached < MIN_COPIED_TOKENS {
                continue;
            }
            let (requests, failure_rate) =
                (backend.requests(now), backend.circuit_breaker.failure_rate());
            sources.push(SourceView { key, cached, same_zone: false, requests, failure_rate });
        }
        sources
    }

    fn choose_plain_server(
        &self,
        state: &mut State,
        zone: &ZoneName,
        filter: &VersionFilter,
    ) -> Result<Chosen, Failure> {
        let now = clock::now();
        let call = state.observed(self.service).calls.median();
        let (mut views, mut speeds) = (Vec::new(), Vec::new());
        for (key, backend) in self.untried(state, filter) {
            let lasting = backend.speed.call.factor();
            let now_factor = backend.speed.moment.factor(now, call.mul_f64(lasting));
            speeds.push(CallSpeed { lasting, now: now_factor });
            views.push(ServerView {
                key,
                slots: backend.record.slots,
                calls: backend.requests(now),
                network_latency: network_latency(zone, backend),
                failure_rate: backend.circuit_breaker.failure_rate(),
                circuit_open: backend.circuit_breaker.is_open(now),
            });
        }
        let mut random = rand::rng();
        let speeds = CallSpeeds { speeds: &speeds, aim: self.call_aim() };
        let chosen = match state.speed_source {
            SpeedSource::OwnRequests => choose_server(&views, call, &mut random),
            SpeedSource::AllNodes => choose_server_by_speed(&views, speeds, call, &mut random),
        };
        let Some((key, wait)) = chosen else {
            return Err(self.unavailable(state, filter, &mut random));
        };
        self.check_wait(wait, &mut random)?;
        let footprint = Footprint { rank: self.req.rank(), ..Footprint::default() };
        Ok(Chosen { key, wait, footprint, copy_from: None, candidates: views.len() })
    }

    fn placement(
        &self,
        state: &mut State,
        entry: &ServiceEntry,
        chosen: Chosen,
    ) -> Result<Placement, Failure> {
        let calls = &state.observed(self.service).calls;
        let (p95_call, median) = (calls.p95(), calls.median());
        let carrier = self.carrier(state, chosen.key)?;
        let source = state.speed_source;
        let backend = state.backends.get_mut(chosen.key).ok_or(Failure::NoBackend)?;
        backend.announced.take_request(clock::now());
        let (pool, connections, carrier) = match carrier {
            None => {
                let share = connection_share(entry.connections, state.members.count());
                (Arc::clone(&backend.pool), share, None)
            }
            Some((node, pool)) => (pool, MAX_CARRIER_CONNECTIONS, Some(node)),
        };
        Ok(Placement {
            key: chosen.key,
            name: Arc::clone(&backend.name),
            born: backend.record.born,
            service: backend.record.service.clone(),
            version: backend.record.version.as_str().into(),
            pool,
            connections,
            carrier,
            footprint: chosen.footprint,
            copy_from: chosen.copy_from,
            wait: chosen.wait,
            p95_call,
            speed: match chosen.footprint.expected {
                Some(_) => backend.slowness(source),
                None => backend.speed.call.factor(),
            },
            candidates: chosen.candidates,
            // A server that is always slow must not count as usual by its own past.
            expected: chosen.footprint.expected.map_or(median + chosen.wait, |expected| {
                expected.div_f64(backend.slowness(source).max(1.0))
            }),
            answer_key: state.rollouts.answer_key(
                self.service,
                &self.req.route.name,
                &backend.record.version,
                backend.identity,
                self.req.is_bound(),
            ),
        })
    }

    // Returns how the request gets to a server: over another node if this one has no way there, or no part of the room at
    // brittle servers.
    fn effective_way(&self, state: &State) -> Way {
        if state.reachability.is_lost(self.service) {
            return Way::Carried;
        }
        let Some(brittleness) = state.brittle.get(self.service) else { return self.way };
        let now = clock::now();
        let filter = self.filter(state, now);
        let mut servers = self.accepting(state, now);
        let has_room = servers.any(|(key, backend)| {
            self.tried.allows(key, Way::Own)
                && filter.selects(&backend.record.version, backend.identity)
                && backend.room.has_part(now, brittleness, backend.record.slots)
        });
        if has_room { self.way } else { Way::Carried }
    }

    // Returns the node that carries the request, if one has to; refuses the request if none can.
    fn carrier(
        &self,
        state: &State,
        server: WorkerKey,
    ) -> Result<Option<(NodeName, Arc<Pool>)>, Failure> {
        if self.way == Way::Own {
            return Ok(None);
        }
        let now = clock::now();
        match self.carriers(state, now, server).choose(&mut rand::rng()) {
            Some((node, member)) => Ok(Some((node.clone(), Arc::clone(&member.pool)))),
            None if state.reachability.is_lost(self.service) => Err(Failure::NoBackend),
            None if state.brittle.get(self.service).is_some() => {
                Err(Failure::ServersLimited(BRITTLE_RETRY_AFTER))
            }
            None => Ok(None),
        }
    }

    // Returns the nodes that can carry the request to a server, without those that had no room there.
    fn carriers<'s>(
        &self,
        state: &'s State,
        now: Stamp,
        server: WorkerKey,
    ) -> impl Iterator<Item = (&'s NodeName, &'s Member)> {
        let owners = self.room_owners(state, server).into_iter();
        owners.filter(move |(node, member)| {
            member.carries(now, self.service) && !self.tried.is_full(server, node)
        })
    }

    // Returns the nodes that have a part of the room at a brittle server; all nodes if it is not brittle.
    fn room_owners<'s>(
        &self,
        state: &'s State,
        server: WorkerKey,
    ) -> Vec<(&'s NodeName, &'s Member)> {
        let members = state.members.iter();
        let members = members.filter(|(_, member)| !member.lost_services.contains(self.service));
        let brittleness = state.brittle.get(self.service);
        let (Some(brittleness), Some(backend)) = (brittleness, state.backends.get(server)) else {
            return members.collect();
        };
        let room = backend.room.room(clock::now(), brittleness, backend.record.slots);
        let hashed = members.map(|(name, member)| (node_hash(name), (name, member)));
        room_owners(room, backend.identity, hashed)
    }

    // Returns the servers to choose from: those that accept a request now.
    fn untried<'s>(
        &'s self,
        state: &'s State,
        filter: &'s VersionFilter,
    ) -> impl Iterator<Item = (WorkerKey, &'s Backend)> + 's {
        let now = clock::now();
        let servers = self.untried_at_any_time(state, filter);
        let servers = servers.filter(move |(_, backend)| backend.announced.accepts_request(now));
        let brittleness = state.brittle.get(self.service);
        servers.filter(move |(key, backend)| match (self.way, brittleness) {
            (Way::Own, Some(it)) => backend.room.has_part(now, it, backend.record.slots),
            (Way::Carried, Some(_)) => self.may_be_carried(state, now, *key),
            (_, None) => true,
        })
    }

    // Returns whether some node may have room at a server where others had none.
    fn may_be_carried(&self, state: &State, now: Stamp, server: WorkerKey) -> bool {
        !self.tried.was_full(server) || self.carriers(state, now, server).next().is_some()
    }

    // Returns the servers that accept work; those that only other nodes have reported are for streams that began there.
    fn accepting<'s>(
        &'s self,
        state: &'s State,
        now: Stamp,
    ) -> Box<dyn Iterator<Item = (WorkerKey, &'s Backend)> + 's> {
        match self.origin {
            Some(origin) => {
                Box::new(state.backends.accepting_resumed(now, self.service, &origin.version))
            }
            None => Box::new(state.backends.accepting(self.service)),
        }
    }

    fn untried_at_any_time<'s>(
        &'s self,
        state: &'s State,
        filter: &'s VersionFilter,
    ) -> impl Iterator<Item = (WorkerKey, &'s Backend)> + 's {
        self.accepting(state, clock::now()).filter(|(key, backend)| {
            self.tried.allows(*key, self.way)
                && filter.selects(&backend.record.version, backend.identity)
        })
    }

    // Returns why no server can be chosen, with the time after which one may accept a request.
    fn unavailable(
        &self,
        state: &mut State,
        filter: &VersionFilter,
        random: &mut dyn Rng,
    ) -> Failure {
        let now = clock::now();
        let mut waits = Vec::new();
        let mut cached = 0;
        for (_, backend) in self.untried_at_any_time(state, filter) {
            waits.push(backend.announced.wait_anywhere(now));
            if let Some(prompt) = &self.req.call.prompt {
                cached = cached.max(backend.parts.cached(&prompt.parts));
            }
        }
        let Some(wait) = waits.into_iter().min() else {
            if self.origin.is_some() {
                return Failure::VersionUnavailable;
            }
            return match self.held_for(state, now) {
                Some(left) => Failure::ServersLimited(spread(left.max(MIN_RETRY_AFTER), random)),
                None => Failure::NoBackend,
            };
        };
        if let (Some(prompt), true) = (&self.req.call.prompt, self.tried.is_empty()) {
            let read = f64::from(prompt.tokens.saturating_sub(cached));
            let demand = state.demand.entry(self.service.clone()).or_default();
            demand.note(now, Offered { read, answer: f64::from(prompt.answer()) });
        }
        let is_brittle = state.brittle.get(self.service).is_some();
        let min = if is_brittle { BRITTLE_RETRY_AFTER } else { MIN_RETRY_AFTER };
        Failure::ServersLimited(spread(wait.max(min), random))
    }

    fn check_wait(&self, wait: Duration, random: &mut dyn Rng) -> Result<(), Failure> {
        let budget = self.latency_budget();
        let checked = match self.origin {
            Some(_) => budget.check_resumed_wait(wait, random),
            None => budget.check_wait(wait, random),
        };
        checked.map_err(Failure::Overloaded)
    }

    fn call_aim(&self) -> CallAim {
        let cfg = &self.req.route.cfg;
        if cfg.kind.may_run_again() {
            return CallAim::Earliest;
        }
        let target: Duration = cfg.target_latency.into();
        CallAim::InTime(target.min(self.left))
    }

    /// Returns the time that the caller waits.
    pub fn latency_budget(&self) -> LatencyBudget {
        let cfg = &self.req.route.cfg;
        let gap = cfg.target_gap.map(Duration::from).filter(|_| cfg.kind.is_stream());
        LatencyBudget { target: cfg.target_latency.into(), max_gap: gap, remaining: self.left }
    }
}

// The address of the engine from which the chosen one copies.
fn copy_from(
    state: &State,
    chosen: EngineChoice,
    mut sources: Vec<SourceView>,
) -> Option<SocketAddr> {
    let zone = &state.backends.get(chosen.key)?.record.zone;
    let version = &state.backends.get(chosen.key)?.record.version;
    sources.retain(|source| {
        let backend = state.backends.get(source.key);
        source.key != chosen.key
            && backend.is_some_and(|backend| backend.record.version == *version)
    });
    for source in &mut sources {
        let backend = state.backends.get(source.key);
        source.same_zone = backend.is_some_and(|backend| backend.record.zone == *zone);
    }
    let source = choose_source(sources, chosen.cached)?;
    Some(state.backends.get(source.key)?.record.address)
}

// Queues before a request, and cached parts that are only assumed, hide the engine's speed.
fn speed_weight(chosen: &EngineChoice, unqueued: bool) -> f64 {
    if unqueued {
        return 1.0;
    }
    let first_token = chosen.first_token.as_secs_f64().max(f64::MIN_POSITIVE);
    let own_share = 1.0 - chosen.wait.as_secs_f64() / first_token;
    (own_share * own_share).clamp(0.0, 1.0) * QUEUED_WEIGHT
}

fn network_latency(own: &ZoneName, backend: &Backend) -> Duration {
    if backend.record.zone == *own { Duration::ZERO } else { OTHER_ZONE_LATENCY }
}

/// Returns the maximum number of connections of one of several nodes to a backend server that accepts `connections`.
///
/// They are divided evenly among all nodes. One share is kept free for a node that this one does not know yet.
pub fn connection_share(connections: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).saturating_add(1);
    (connections / nodes).max(2)
}

// Spreads the times at which refused callers return.
fn spread(wait: Duration, random: &mut dyn Rng) -> Duration {
    wait.mul_f64(random.random_range(1.0..1.5))
}
