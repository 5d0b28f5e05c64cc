//! What operators can see of a deployment while the demo runs, sampled several times a second.

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

/// The pause between two samples.
const PAUSE: Duration = Duration::from_millis(200);

/// A `Sampler` collects samples for the checks.
pub struct Sampler {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    noticed: BTreeMap<VmName, Duration>,
    accepted: Vec<(Revision, Duration)>,
    observations: Vec<Observation>,
    work: Vec<WorkSample>,
}

/// `Samples` are all that a sampler collected.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// When each configuration was accepted.
    pub accepted: Vec<(Revision, Duration)>,
    /// The revisions that nodes had in force.
    pub observations: Vec<Observation>,
    /// The work that engines on leaving VMs were given.
    pub work: Vec<WorkSample>,
}

impl Sampler {
    /// Returns a sampler whose run starts now.
    pub fn new() -> Sampler {
        Sampler { started: Instant::now(), state: Mutex::default() }
    }

    /// Notes VMs whose reclaim was announced now.
    pub fn noticed(&self, vms: &[VmName]) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        for vm in vms {
            state.noticed.entry(vm.clone()).or_insert(now);
        }
    }

    /// Notes a configuration that was accepted now.
    pub fn accepted(&self, revision: Revision) {
        let now = self.started.elapsed();
        self.lock().accepted.push((revision, now));
    }

    /// Takes samples for as long as it is polled.
    pub async fn run(&self, testbed: &Arc<Testbed>) {
        loop {
            self.sample(testbed);
            sleep(PAUSE).await;
        }
    }

    /// Returns what was collected.
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
            // A node that has only just started knows no configuration and names no address yet.
            if revision == Revision(0) {
                continue;
            }
            let node = node.name().clone();
            state.observations.push(Observation { node, at, revision });
        }
        let noticed: Vec<_> = state.noticed.iter().map(|(vm, at)| (vm.clone(), *at)).collect();
        for (vm, since) in noticed {
            let Some(Machine::Engine(engine)) = testbed.machines.get(&vm) else { continue };
            let given = engine.counts().generates;
            state.work.push(WorkSample { vm, after_notice: at.saturating_sub(since), given });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
