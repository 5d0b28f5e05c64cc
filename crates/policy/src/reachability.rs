//! Whether a node has lost its way to all servers of a service, by the connections that it could and could not open.

use std::{collections::BTreeSet, time::Duration};

use bulrushhall_core::Stamp;
use rand::{Rng, seq::IteratorRandom};

use crate::placement::WorkerKey;

/// `ReachabilityOptions` are the evidence for a lost service and the rate of probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityOptions {
    /// The number of servers to which connections have to fail; all servers of a smaller service.
    pub lost_after: usize,
    /// The number of servers that are probed at once.
    pub probes: usize,
    /// The pause between two probes of a service that is lost.
    pub pause: Duration,
    /// How long after a connection was opened nothing is probed: overdue responses come in numbers where servers are
    /// overloaded.
    pub trusted: Duration,
}

impl Default for ReachabilityOptions {
    fn default() -> Self {
        ReachabilityOptions {
            lost_after: 4,
            probes: 2,
            pause: Duration::from_millis(250),
            trusted: Duration::from_millis(500),
        }
    }
}

/// A `Reachability` collects the evidence of one node about one service.
///
/// Only connections that are opened count: in a partition, connections that are open may go on working while no
/// new one can be opened, or hang while nothing is known of new ones.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unreachable: BTreeSet<WorkerKey>,
    lost_since: Option<Stamp>,
    opened_at: Option<Stamp>,
    probing: bool,
}

/// A `ProbeStep` is what the prober of a service does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Opens connections to these servers.
    Probe(Vec<WorkerKey>),
    /// Pauses, then opens connections to these servers.
    ProbeAfter(Duration, Vec<WorkerKey>),
    /// Ends, since a connection has been opened or there are no servers.
    End,
}

impl Reachability {
    /// Notes that a connection to a server of the service was opened; returns whether the service was lost until then.
    pub fn note_opened(&mut self, now: Stamp) -> bool {
        self.opened_at = Some(now);
        self.unreachable.clear();
        self.lost_since.take().is_some()
    }

    /// Notes that no connection to a server could be opened; returns whether the service is newly lost.
    pub fn note_unreachable(
        &mut self,
        now: Stamp,
        server: WorkerKey,
        known: impl IntoIterator<Item = WorkerKey>,
        options: ReachabilityOptions,
    ) -> bool {
        self.unreachable.insert(server);
        self.opened_at = None;
        if self.lost_since.is_some() {
            return false;
        }
        let (mut servers, mut unreachable) = (0, 0);
        for key in known {
            servers += 1;
            unreachable += usize::from(self.unreachable.contains(&key));
        }
        let is_lost = unreachable != 0 && options.lost_after.min(servers) <= unreachable;
        self.lost_since = is_lost.then_some(now);
        is_lost
    }

    /// Returns whether no server of the service can be reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Begins to probe the service; returns false if it is being probed already, or a connection was opened just before.
    pub fn begin_probing(&mut self, now: Stamp, options: ReachabilityOptions) -> bool {
        if self.opened_at.is_some_and(|at| now.since(at) < options.trusted) {
            return false;
        }
        !std::mem::replace(&mut self.probing, true)
    }

    /// Notes that the prober has ended before its last step.
    pub fn end_probing(&mut self) {
        self.probing = false;
    }

    /// Returns what to probe next; `rounds` is the number of probes since the begin.
    pub fn next_probe(
        &mut self,
        rounds: u32,
        known: impl IntoIterator<Item = WorkerKey>,
        options: ReachabilityOptions,
        random: &mut impl Rng,
    ) -> ProbeStep {
        let is_undecided = rounds == 0 || !self.unreachable.is_empty();
        let untried = |key: &WorkerKey| self.is_lost() || !self.unreachable.contains(key);
        let mut known = known.into_iter().peekable();
        let is_unknown = known.peek().is_none();
        let servers: Vec<WorkerKey> = known.filter(untried).sample(random, options.probes);
        if is_unknown {
            // Servers that come later are others.
            *self = Reachability { probing: self.probing, ..Reachability::default() };
        }
        if servers.is_empty() || !is_undecided {
            self.probing = false;
            return ProbeStep::End;
        }
        match self.is_lost() {
            true => ProbeStep::ProbeAfter(options.pause, servers),
            false => ProbeStep::Probe(servers),
        }
    }
}
