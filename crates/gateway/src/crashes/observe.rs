//! Observation of answers: those that come to their end, and those that are interrupted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{CrashedRequest, CrashedServer, PartId, PartIds, ServerEnd};
use bulrushhall_core::{Event, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use tokio::time::sleep;

use crate::{
    backends::{ListenerState, listener_state, responds},
    clock,
    cluster::as_millis,
    crashes::{
        CrashState, InterruptedAnswer, InterruptedAnswers, Interruption, UnsettledAnswer,
        UnsettledRequest, lift_answered, plan_blocks,
    },
    gateway::{Gateway, State},
    meters,
    pipeline::{IdentifiedRequest, Placement},
};

/// How long interrupted answers of a server are collected until it is checked whether the server has ended.
pub const COLLECTING_TIME: Duration = Duration::from_millis(40);
/// The time after which an answer that is being written has not crashed its server because of a part of its prompt.
const BEGINNING_MS: u64 = 2_000;
/// The time in which a server that broke off an answer, and accepts connections, shows that it lives on by answering a request.
const SIGN_OF_LIFE_TIME: Duration = Duration::from_millis(1_000);
/// The time for which the check of a server holds: each costs a connection.
const CHECK_VALID_FOR: Duration = Duration::from_millis(1_000);

/// Logs that a backend server closed its connection before the end of an answer, which began at the given time.
pub fn log_broken_answer(req: &IdentifiedRequest, placement: &Placement, began_at: Option<Stamp>) {
    let began = began_at.map(|at| clock::now().since(at));
    tracing::info!(
        event = Event::AnswerBroken.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        parts = req.call.prompt.as_ref().map(|prompt| display(prompt.part_ids())),
        digest = %req.fingerprint.digest(),
        began_ms = began.map(|began| began.as_secs_f64() * 1_000.0)
    );
}

/// Notes an answer that a backend server interrupted.
pub fn note_interrupted(
    gateway: &Arc<Gateway>,
    (key, server): (WorkerKey, u64),
    answer: InterruptedAnswer,
) {
    let now = clock::now();
    let is_first = gateway.with(|state| {
        let CrashState { serving, .. } = &mut state.crashes;
        serving.retain(|_, at| now.since(*at) < CHECK_VALID_FOR);
        if answer.interruption == Interruption::Stalled && serving.contains_key(&key) {
            return false;
        }
        let entry = state.crashes.interrupted.entry(key);
        let interrupted =
            entry.or_insert_with(|| InterruptedAnswers { server, ..Default::default() });
        interrupted.answers.push(answer);
        interrupted.answers.len() == 1
    });
    if is_first {
        tokio::spawn(check_server(Arc::clone(gateway), key));
    }
}

/// Notes that no connection to a server could be opened: it may have ended under a request whose caller has left.
pub fn note_unopened(gateway: &Arc<Gateway>, key: WorkerKey) {
    let now = clock::now();
    let is_first = gateway.with(|state| {
        let CrashState { unsettled, interrupted, .. } = &mut state.crashes;
        if !unsettled.has(now, key) || interrupted.contains_key(&key) {
            return false;
        }
        let server = unsettled.servers().find(|(other, _)| *other == key).map(|(_, server)| server);
        let Some(server) = server else { return false };
        interrupted.insert(key, InterruptedAnswers { server, answers: Vec::new() });
        true
    });
    if is_first {
        tokio::spawn(check_server(Arc::clone(gateway), key));
    }
}

/// An `AnswerSpan` is how much of the answer to a request one backend server has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSpan {
    /// All of it.
    Whole,
    /// The rest, after another server: that one may have crashed under the request.
    Resumed,
}

/// Notes that an answer of a backend server, which began at a time, came to its end; `is_delimited` tells whether its end could be told from a
/// connection that was closed.
pub fn note_whole_answer(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    (span, begun_at): (AnswerSpan, Stamp),
    is_delimited: bool,
) {
    if !is_delimited {
        return;
    }
    let ids = match span {
        AnswerSpan::Whole => req.fingerprint.ids(),
        AnswerSpan::Resumed => req.fingerprint.parts(),
    };
    let now = clock::now();
    let blocked = gateway.with(|state| state.crashes.watch.note_sound(now, begun_at, ids));
    if let Some(parts) = blocked {
        lift_answered(gateway, &parts, answer_source(req), begun_at);
    }
}

/// Notes that a backend server goes on to write an answer whose head arrived at a time, and whose first event at another one;
/// returns whether it has for so long that no part of the prompt has crashed it.
pub fn note_answer_progress(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    (head_at, event_at): (Stamp, Stamp),
) -> bool {
    let now = clock::now();
    if as_millis(now.since(event_at)) < BEGINNING_MS {
        return false;
    }
    let parts = req.fingerprint.parts();
    let blocked = gateway.with(|state| state.crashes.watch.note_progress(now, head_at, parts));
    if let Some(parts) = blocked {
        lift_answered(gateway, &parts, answer_source(req), head_at);
    }
    true
}

// Returns what lifts a block if a request is answered.
fn answer_source(req: &IdentifiedRequest) -> &'static str {
    if req.probe.is_some() { "probe" } else { "answer" }
}

/// Notes that a backend server has begun to answer a request that was sent at a moment: the unmarked answers that had ended
/// before were whole.
pub fn note_answering(gateway: &Gateway, key: WorkerKey, sent_at: Stamp) {
    let now = clock::now();
    let blocked: Vec<(PartIds, Stamp)> = gateway.with(|state| {
        if let Some(backend) = state.backends.get_mut(key) {
            backend.answered_sent_at = backend.answered_sent_at.max(sent_at);
        }
        let CrashState { unsettled, watch, .. } = &mut state.crashes;
        let whole = unsettled.take_answered(key, sent_at);
        let note = |(at, req): &(Stamp, CrashedRequest)| {
            Some((watch.note_sound(now, *at, &req.ids())?, *at))
        };
        whole.iter().filter_map(note).collect()
    });
    for (parts, begun_at) in blocked {
        lift_answered(gateway, &parts, "answer", begun_at);
    }
}

/// Notes the requests of servers whose records were removed, or replaced by those of a later start.
pub fn note_removed_servers(gateway: &Gateway, state: &mut State, now: Stamp) {
    let servers = state.crashes.unsettled.servers();
    let removed = servers.filter(|(key, _)| state.backends.get(*key).is_none());
    let removed: Vec<u64> = removed.map(|(_, server)| server).collect();
    for server in removed {
        let crashed = CrashedServer { server, end: ServerEnd::Seen, at: now };
        note_crash(gateway, state, crashed, Vec::new());
    }
}

/// Notes that a server has crashed, with the requests whose answers it interrupted and those that nobody waits for.
pub fn note_crash(
    gateway: &Gateway,
    state: &mut State,
    crashed: CrashedServer,
    mut requests: Vec<CrashedRequest>,
) {
    let CrashState { watch, unsettled, .. } = &mut state.crashes;
    if crashed.end == ServerEnd::Seen {
        requests.extend(unsettled.take(crashed.at, crashed.server));
    }
    for req in &mut requests {
        if req.begun_ms.is_some_and(|begun| BEGINNING_MS <= begun) {
            req.parts.clear();
        }
    }
    watch.note_crash(clock::now(), gateway.incarnation, crashed, requests);
}

// A server that broke off one answer still accepts connections, as does one that is replaced at once; one that is silent may
// be out of reach.
async fn check_server(gateway: Arc<Gateway>, key: WorkerKey) {
    sleep(COLLECTING_TIME).await;
    let backend = gateway.with(|state| {
        let backend = state.backends.get(key)?;
        Some((backend.record.address, Arc::clone(&backend.name)))
    });
    let (address, name) = backend.unzip();
    let listener = match address {
        Some(address) => listener_state(address).await,
        None => ListenerState::Unknown,
    };
    let name = name.unwrap_or_default();
    let (now, is_serving) = (clock::now(), listener == ListenerState::Accepting);
    let end =
        if listener == ListenerState::Refusing { ServerEnd::Seen } else { ServerEnd::Unknown };
    let (crashed, requests) = gateway.with(|state| {
        let InterruptedAnswers { server, answers } =
            state.crashes.interrupted.remove(&key).unwrap_or_default();
        if is_serving {
            state.crashes.serving.insert(key, now);
        }
        // An answer that a serving server does not go on with may be slow.
        let counts =
            |answer: &InterruptedAnswer| !is_serving || answer.interruption == Interruption::Closed;
        let answers: Vec<InterruptedAnswer> = answers.into_iter().filter(counts).collect();
        let at = answers.iter().map(|answer| answer.at).min().unwrap_or(now);
        let requests: Vec<CrashedRequest> =
            answers.into_iter().map(|answer| answer.request_at(at)).collect();
        let crashed = CrashedServer { server, end, at };
        let noted = if is_serving { common_only(&requests) } else { requests.clone() };
        note_crash(&gateway, state, crashed, noted);
        plan_blocks(&gateway, state, now);
        (crashed, requests)
    });
    if requests.is_empty() {
        return;
    }
    log_crash(&name, end, &requests, is_serving);
    if let Some(address) = address.filter(|_| is_serving) {
        await_sign_of_life(&gateway, (key, address), crashed, requests).await;
    }
}

fn log_crash(backend: &str, end: ServerEnd, requests: &[CrashedRequest], is_serving: bool) {
    let answers = requests.len();
    let ids = |ids: Vec<PartId>| {
        let mut ids = PartIds(ids);
        ids.0.sort_unstable();
        ids.0.dedup();
        ids
    };
    let parts = ids(requests.iter().flat_map(|req| req.parts.iter().copied()).collect());
    let digests = ids(requests.iter().filter_map(|req| req.digest).collect());
    if end == ServerEnd::Seen {
        meters::server_crashed();
        tracing::warn!(event = Event::ServerCrashed.number(), backend, answers, %parts, %digests);
    } else {
        tracing::info!(
            event = Event::AnswersInterrupted.number(),
            backend,
            answers,
            %parts,
            %digests,
            is_serving
        );
    }
}

// A server that responds, or answers later requests, broke off single answers: that is no crash. If it has ended after all, its
// record tells so.
async fn await_sign_of_life(
    gateway: &Gateway,
    (key, address): (WorkerKey, SocketAddr),
    crashed: CrashedServer,
    requests: Vec<CrashedRequest>,
) {
    let CrashedServer { server, at, .. } = crashed;
    gateway.with(|state| {
        for req in requests.iter().cloned() {
            let answer = UnsettledAnswer::Abandoned;
            state.crashes.unsettled.note(UnsettledRequest { key, server, req, at, answer });
        }
    });
    if responds(address).await {
        return;
    }
    sleep(SIGN_OF_LIFE_TIME).await;
    gateway.with(|state| {
        let backend = state.backends.get(key);
        if backend.is_some_and(|backend| backend.answered_sent_at < at) {
            note_crash(gateway, state, crashed, requests);
            plan_blocks(gateway, state, clock::now());
        }
    });
}

// Returns requests without what is their own: their last parts and digests.
fn common_only(requests: &[CrashedRequest]) -> Vec<CrashedRequest> {
    let mut common = requests.to_vec();
    for req in &mut common {
        req.parts.pop();
        req.digest = None;
    }
    common
}
