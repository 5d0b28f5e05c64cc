//! A task that samples which revision each node has in force while a scenario runs.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bulrushhall_core::Revision;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    check::{Observation, Violation, spreads_and_never_reverts},
    testbed::NodeProcess,
};

/// The interval at which nodes are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// The time limit for an accepted configuration to be in force on all nodes.
pub const CONFIG_TIMEOUT: Duration = Duration::from_secs(12);

/// A `RevisionWatch` records the revisions in force until it is dropped.
pub struct RevisionWatch {
    started: Instant,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct State {
    nodes: Vec<Arc<NodeProcess>>,
    observations: Vec<Observation>,
    accepted: Vec<(Revision, Duration)>,
}

impl RevisionWatch {
    /// Starts to watch nodes.
    pub fn start(nodes: &[Arc<NodeProcess>]) -> RevisionWatch {
        let started = Instant::now();
        let state = Arc::new(Mutex::new(State { nodes: nodes.to_vec(), ..State::default() }));
        let task = tokio::spawn(watch(Arc::clone(&state), started));
        RevisionWatch { started, state, task }
    }

    /// Watches one more node.
    pub fn add(&self, node: &Arc<NodeProcess>) {
        lock(&self.state).nodes.push(Arc::clone(node));
    }

    /// Records that a revision was accepted at this moment.
    pub fn accepted(&self, revision: Revision) {
        lock(&self.state).accepted.push((revision, self.started.elapsed()));
    }

    /// Removes nodes that have ended and discards the observations. The newest accepted revision
    /// is kept, since nodes still have to put it in force.
    pub fn clear_observations(&self) {
        let mut state = lock(&self.state);
        state.nodes.retain(|node| node.is_alive());
        state.observations = Vec::new();
        let newest = state.accepted.pop();
        state.accepted = newest.into_iter().collect();
    }

    /// Checks that all nodes put accepted revisions in force in time and never revert to an earlier
    /// one.
    pub fn judge(&self) -> Vec<Violation> {
        let state = lock(&self.state);
        spreads_and_never_reverts(&state.observations, &state.accepted, CONFIG_TIMEOUT)
    }
}

impl Drop for RevisionWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(state: Arc<Mutex<State>>, started: Instant) {
    loop {
        let nodes = lock(&state).nodes.clone();
        for node in nodes.iter().filter(|node| node.is_alive()) {
            let revision = node.context().in_force().revision;
            let (node, at) = (node.name().clone(), started.elapsed());
            lock(&state).observations.push(Observation { node, at, revision });
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
