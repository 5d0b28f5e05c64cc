//! Ends of answers that have neither a length nor chunks.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use tokio::time::{Instant, sleep};

use crate::{
    backends::{Backend, ConnectionLife, ListenerState, Pool, Witnesses, listener_state},
    clock,
    crashes::{
        observe::COLLECTING_TIME,
        probe::{ProbeResult, probe},
    },
    gateway::Gateway,
    meters,
};

/// How long after its last answer the record of a server that leaves in order may take to be removed, as far as this
/// node knows. The record of a server that ends otherwise expires after some seconds.
pub const REMOVAL_TIME: Duration = Duration::from_millis(1_000);
/// How long before the end of an answer the removal of a record that follows it may be known: the two come on
/// different connections.
const MAX_REMOVAL_LEAD: Duration = Duration::from_millis(200);
/// How long after the end of an answer another connection has to stay open to show that the process lives: the kernel
/// retransmits the end of a connection after 200 ms if it was lost.
const WITNESS_TIME: Duration = Duration::from_millis(250);
/// The interval of checks whether a record was removed, or a connection is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An `UnmarkedEnd` is what the end of a connection says of an answer that has no other mark of its end.
#[derive(Clone, Copy)]
pub enum UnmarkedEnd<'a> {
    /// The server lives on, so it has closed the connection after the whole answer.
    Whole,
    /// The server is gone, or out of reach. The answer is whole if it left in order.
    Unproven(Departure<'a>),
    /// The server has crashed, and may have cut the answer off.
    Crashed,
}

/// An `EndedAnswer` is an answer whose connection was closed by its server.
#[derive(Clone, Copy)]
pub struct EndedAnswer<'a> {
    /// The server.
    pub key: WorkerKey,
    /// The name of the server.
    pub name: &'a str,
    /// The connections to the server.
    pub pool: &'a Pool,
    /// The connection that was closed.
    pub life: &'a Arc<ConnectionLife>,
}

/// A `Departure` is the end of a server that may have left in order.
#[derive(Clone, Copy)]
pub struct Departure<'a> {
    gateway: &'a Gateway,
    answer: EndedAnswer<'a>,
    ended_at: Stamp,
}

/// Returns what is known of an answer whose connection was closed by its server.
pub async fn unmarked_end<'a>(gateway: &'a Gateway, answer: EndedAnswer<'a>) -> UnmarkedEnd<'a> {
    let ended_at = clock::now();
    let EndedAnswer { key, pool, .. } = answer;
    let accepted_work =
        gateway.with(|state| state.backends.get(key).is_some_and(Backend::accepts_work));
    let check = ProcessCheck::begin(answer, ended_at);
    let (state, found) = check.process_state(gateway, accepted_work).await;
    meters::unmarked_end(state.name());
    if state != ProcessState::Lives {
        tracing::info!(
            event = Event::EndUnproven.number(),
            backend = answer.name,
            found = found.name(),
            accepted_work
        );
    }
    match state {
        ProcessState::Lives => {
            pool.witnesses().note_lived(ended_at);
            UnmarkedEnd::Whole
        }
        ProcessState::Ended if accepted_work => UnmarkedEnd::Crashed,
        ProcessState::Ended | ProcessState::Unknown => {
            UnmarkedEnd::Unproven(Departure { gateway, answer, ended_at })
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Lives,
    Ended,
    Unknown,
}

impl ProcessState {
    fn name(self) -> &'static str {
        match self {
            ProcessState::Lives => "lives",
            ProcessState::Ended => "ended",
            ProcessState::Unknown => "unknown",
        }
    }
}

/// A `ProcessCheck` finds out whether the process that wrote an answer lives on after its end.
struct ProcessCheck<'a> {
    answer: EndedAnswer<'a>,
    ended_at: Stamp,
    since: Instant,
    /// The connections that were open.
    others: Vec<Arc<ConnectionLife>>,
    spare: Option<Arc<ConnectionLife>>,
}

impl<'a> ProcessCheck<'a> {
    fn begin(answer: EndedAnswer<'a>, ended_at: Stamp) -> ProcessCheck<'a> {
        let witnesses = answer.pool.witnesses();
        ProcessCheck {
            answer,
            ended_at,
            since: Instant::now(),
            others: witnesses.others(answer.life),
            spare: witnesses.spare_life().filter(|spare| spare.responded_at().is_some()),
        }
    }

    async fn process_state(
        self,
        gateway: &Gateway,
        accepted_work: bool,
    ) -> (ProcessState, ProbeResult) {
        // All connections of a process that ends are closed in this time.
        sleep(COLLECTING_TIME).await;
        let found = self.probe(gateway, accepted_work).await;
        let is_excluded = self.has_closed_spare() || self.is_replaced(gateway);
        let lives = match found {
            ProbeResult::Responded => !is_excluded,
            // It has as many connections as it takes.
            ProbeResult::Closed => !is_excluded,
            // A server that ignores such requests can't be told from a listener without a process.
            ProbeResult::Silent => !is_excluded && !self.witnesses().has_responded(),
            ProbeResult::OtherBackend | ProbeResult::Refused | ProbeResult::Unreachable => false,
        };
        let state = if lives || self.has_witness(found == ProbeResult::Refused).await {
            ProcessState::Lives
        } else if found == ProbeResult::Unreachable || self.is_replaced(gateway) {
            ProcessState::Unknown
        } else {
            ProcessState::Ended
        };
        (state, found)
    }

    // The spare connection to a leaving server is not used: the server may close it after a response, and once its listener is
    // closed, none can be opened.
    async fn probe(&self, gateway: &Gateway, accepted_work: bool) -> ProbeResult {
        let EndedAnswer { name, pool, .. } = self.answer;
        if accepted_work && !self.witnesses().ignores_probes() {
            return probe(gateway, name, pool, self.ended_at).await;
        }
        match listener_state(pool.address()).await {
            ListenerState::Accepting if self.witnesses().ignores_probes() => ProbeResult::Silent,
            ListenerState::Accepting => probe(gateway, name, pool, self.ended_at).await,
            ListenerState::Refusing => ProbeResult::Refused,
            ListenerState::Unknown => ProbeResult::Unreachable,
        }
    }

    // Returns whether a connection that the process held before the end of the answer stays open.
    async fn has_witness(&self, is_refused: bool) -> bool {
        let until = self.since + WITNESS_TIME;
        loop {
            let mut witnesses = self.others.iter().filter(|life| self.is_held(life, is_refused));
            let Some(first) = witnesses.next() else { return false };
            let is_proven = |life: &Arc<ConnectionLife>| self.has_sent_later(life);
            if until <= Instant::now() || is_proven(first) || witnesses.any(is_proven) {
                return true;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    // Connections that no process has taken end with the listener.
    fn is_held(&self, life: &ConnectionLife, is_refused: bool) -> bool {
        let responded = life.responded_at().is_some_and(|at| at <= self.ended_at);
        let is_taken = is_refused && life.opened_at() <= self.ended_at;
        life.is_open() && (responded || is_taken)
    }

    // Returns whether bytes have arrived that were sent after the end of the answer. If they were only late, the end of their
    // connection is behind them.
    fn has_sent_later(&self, life: &ConnectionLife) -> bool {
        let read_at = life.read_at();
        read_at.is_some_and(|read_at| {
            self.since + COLLECTING_TIME < read_at && read_at + CHECK_INTERVAL / 2 < Instant::now()
        })
    }

    // Returns whether the server closed the spare connection together with that of the answer.
    fn has_closed_spare(&self) -> bool {
        let closed_at = self.spare.as_ref().and_then(|spare| spare.closed_at());
        closed_at.is_some_and(|closed_at| {
            self.since < closed_at + COLLECTING_TIME && closed_at < self.since + COLLECTING_TIME
        })
    }

    // A later start under the same name may listen at the same address.
    fn is_replaced(&self, gateway: &Gateway) -> bool {
        let EndedAnswer { key, name, .. } = self.answer;
        gateway.with(|state| state.backends.key_of(name).is_some_and(|known| known != key))
    }

    fn witnesses(&self) -> &Witnesses {
        self.answer.pool.witnesses()
    }
}

impl Departure<'_> {
    /// Returns whether the server removes its record within a time, as one that leaves in order, or turns out to have lived
    /// after the end of the answer.
    pub async fn is_in_order(self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        loop {
            if self.has_left() || self.has_lived_on() {
                return true;
            }
            if until <= Instant::now() {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    // The removal may be known before the end of the answer.
    fn has_left(&self) -> bool {
        let EndedAnswer { name, pool, .. } = self.answer;
        let left_at = self.gateway.with(|state| state.backends.left_at(name, pool.address()));
        left_at.is_some_and(|left_at| self.ended_at.since(left_at) < MAX_REMOVAL_LEAD)
    }

    fn has_lived_on(&self) -> bool {
        self.ended_at < self.answer.pool.witnesses().lived_at()
    }
}
