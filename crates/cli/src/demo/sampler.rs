//! Sampling of a running deployment: the revisions in force and the work of reclaimed VMs.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bulrushhall_bench::{
    Testbed,
    check::{Observation, WorkSample},
    testbed::Machine,
};
use bulrushhall_core::{Revision, VmName};
use tokio::time::sleep;

/// The interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// A `Sampler` collects samples for the checks.
pub struct Sampler {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    notices: BTreeMap<VmName, Duration>,
    accepted: Vec<(Revision, Duration)>,
    observations: Vec<Observation>,
    work: Vec<WorkSample>,
}

/// `Samples` are the data that a sampler collected; times count from its creation.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// The revisions that were accepted, each with its time.
    pub accepted: Vec<(Revision, Duration)>,
    /// The revisions that nodes had in force at each sample.
    pub observations: Vec<Observation>,
    /// The requests that engines on VMs with a reclaim notice had been given at each sample.
    pub work: Vec<WorkSample>,
}

impl Sampler {
    /// Returns a sampler whose clock starts now.
    pub fn new() -> Sampler {
        Sampler { started: Instant::now(), state: Mutex::default() }
    }

    /// Records that the reclaim of these VMs was announced now.
    pub fn record_notices(&self, vms: &[VmName]) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        for vm in vms {
            state.notices.entry(vm.clone()).or_insert(now);
        }
    }

    /// Records that a revision was accepted now.
    pub fn record_accepted(&self, revision: Revision) {
        let now = self.started.elapsed();
        self.lock().accepted.push((revision, now));
    }

    /// Takes samples until the future is dropped.
    pub async fn run(&self, testbed: &Arc<Testbed>) {
        loop {
            self.sample(testbed);
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Returns the collected samples and clears them.
    pub fn finish(&self) -> Samples {
        let mut state = self.lock();
        let State { accepted, observations, work, .. } = std::mem::take(&mut *state);
        Samples { accepted, observations, work }
    }

    fn sample(&self, testbed: &Testbed) {
        let at = self.started.elapsed();
        let mut state = self.lock();
        for node in testbed.machines.nodes() {
            let revision = node.context().in_force().revision;
            // A node that has just started has no configuration and publishes no address yet.
            if revision == Revision(0) {
                continue;
            }
            let node = node.name().clone();
            state.observations.push(Observation { node, at, revision });
        }
        let notices: Vec<_> = state.notices.iter().map(|(vm, at)| (vm.clone(), *at)).collect();
        for (vm, since) in notices {
            let Some(Machine::Engine(engine)) = testbed.machines.get(&vm) else { continue };
            let given = engine.counts().generates;
            state.work.push(WorkSample { vm, after_notice: at.saturating_sub(since), given });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
