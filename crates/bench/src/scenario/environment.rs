//! The deployment under load that the commands of a scenario act on.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_core::Revision;
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::switches::Faults;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    Testbed, TestbedOptions,
    check::{Violation, ViolationKind, WorkSample, judge, no_new_work, planned_stop_cuts_nothing},
    load::{Outcome, Plan, PlanError, Record, Report, Session},
    scenario::{
        ScenarioError,
        watch::{CONFIG_TIMEOUT, RevisionWatch},
    },
    testbed::NodeProcess,
};

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for the membership of all nodes to converge.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(30);
/// What a [`ScenarioError::NotFound`] names where no load was started.
const LOAD: &str = "load";

/// An `Environment` is a running deployment under load, with what was observed on it.
pub struct Environment {
    /// The testbed that runs the deployment.
    pub testbed: Testbed,
    watch: RevisionWatch,
    load: Option<JoinHandle<Result<Report, PlanError>>>,
    records: Vec<Record>,
    last_notice: Option<Instant>,
    next_node_index: usize,
}

impl Environment {
    /// Starts a deployment and waits until its membership has converged.
    pub async fn start(options: TestbedOptions) -> Result<Environment, ScenarioError> {
        let testbed = Testbed::start(options).await.map_err(testbed_error)?;
        let watch = RevisionWatch::start(&testbed.nodes);
        let next_node_index = testbed.nodes.len();
        let (records, last_notice) = (Vec::new(), None);
        let environment =
            Environment { testbed, watch, load: None, records, last_notice, next_node_index };
        environment.wait_for_members().await?;
        Ok(environment)
    }

    /// Returns the nodes that are alive.
    pub fn alive(&self) -> Vec<Arc<NodeProcess>> {
        let alive = self.testbed.nodes.iter().filter(|node| node.is_alive());
        alive.map(Arc::clone).collect()
    }

    /// Waits until each live node has as many members as there are other live nodes; returns the
    /// number of live nodes.
    pub async fn wait_for_members(&self) -> Result<usize, ScenarioError> {
        let alive = self.alive();
        let others = alive.len().saturating_sub(1);
        wait_until(MEMBERS_TIMEOUT, "membership to converge", || {
            alive.iter().all(|node| node.context().members.current().len() == others)
        })
        .await?;
        Ok(alive.len())
    }

    /// Waits until all live nodes have `revision` or a later one in force.
    pub async fn wait_for_config(&self, revision: Revision) -> Result<(), ScenarioError> {
        wait_until(CONFIG_TIMEOUT, "the configuration to be in force on all nodes", || {
            self.alive().iter().all(|node| revision <= node.context().in_force().revision)
        })
        .await
    }

    /// Starts one more node.
    pub async fn add_node(&mut self) -> Result<(), ScenarioError> {
        let index = self.next_node_index;
        self.next_node_index += 1;
        let zone = self.testbed.zone_of(index);
        self.testbed.add_node(index, zone, &Default::default()).await.map_err(testbed_error)?;
        let added = self.testbed.nodes.last().ok_or(ScenarioError::NotFound("node"))?;
        self.watch.add(added);
        Ok(())
    }

    /// Removes nodes that have ended and discards all records and observations.
    pub fn clear_observations(&mut self) {
        for node in self.testbed.nodes.iter().filter(|node| !node.is_alive()) {
            self.testbed.machines.kill(&node.context().settings.node.vm);
        }
        self.testbed.nodes.retain(|node| node.is_alive());
        self.watch.clear_observations();
        self.records = Vec::new();
    }

    /// Announces the reclaim of all VMs of a zone; returns how many there are.
    pub fn reclaim(&mut self, zone: &str, notice: Duration) -> usize {
        self.last_notice = Some(Instant::now());
        self.testbed.reclaim_zone(zone, notice).len()
    }

    /// Applies the configuration with one more class and returns its revision.
    pub async fn apply(&mut self, class: &str) -> Result<Revision, ScenarioError> {
        self.testbed.config.push_str(&format!("\n[class {class}]\npriority = 3\n"));
        let address = self.testbed.kv.address();
        let kv = HttpKeyValue::new(Endpoint::new(address, EndpointOptions::default()));
        let applied = config_chain::apply(&kv, None, &self.testbed.config).await;
        let revision = applied.map_err(testbed_error)?.revision;
        self.watch.accepted(revision);
        Ok(revision)
    }

    /// Starts to send load in a task of its own.
    pub fn start_load(&mut self, plan: Plan) -> Result<(), ScenarioError> {
        let session = Session::start(plan, self.testbed.entries()).map_err(testbed_error)?;
        self.load = Some(tokio::spawn(session.finish()));
        Ok(())
    }

    /// Waits until the load has ended; returns the number of requests, and how many did not
    /// finish, by outcome.
    pub async fn wait_for_load(
        &mut self,
    ) -> Result<(usize, BTreeMap<Outcome, usize>), ScenarioError> {
        let load = self.load.take().ok_or(ScenarioError::NotFound(LOAD))?;
        let report = load.await.map_err(testbed_error)?.map_err(testbed_error)?;
        let sent = report.records.len();
        let mut unfinished: BTreeMap<Outcome, usize> = BTreeMap::new();
        for record in report.records.iter().filter(|it| it.outcome != Outcome::Finished) {
            *unfinished.entry(record.outcome).or_default() += 1;
        }
        self.records.extend(report.records);
        Ok((sent, unfinished))
    }

    /// Checks the guarantees that hold under all faults; returns their violations.
    pub fn judge(&self) -> Vec<Violation> {
        let mut violations = judge(&self.records, &self.testbed.ledger.counts());
        violations.extend(self.watch.judge());
        violations
    }

    /// Checks that no stream was cut, for scenarios whose only faults are planned stops.
    pub fn judge_stops(&self) -> Vec<Violation> {
        planned_stop_cuts_nothing(&self.records)
    }

    /// Checks that engines of a zone get no new work later than `grace` after the last notice.
    ///
    /// Engines are sampled from the end of the grace period on, for the time `length`.
    pub async fn judge_leaving(
        &self,
        zone: &str,
        grace: Duration,
        length: Duration,
    ) -> Result<Vec<Violation>, ScenarioError> {
        let last_notice = self.last_notice.ok_or(ScenarioError::NotFound("notice"))?;
        let mut samples = Vec::new();
        sleep((last_notice + grace).saturating_duration_since(Instant::now())).await;
        while last_notice.elapsed() < grace + length {
            for (index, engine) in self.testbed.engines.iter().enumerate() {
                if self.testbed.zone_of(index) == zone {
                    let (vm, after_notice) = (engine.vm().clone(), last_notice.elapsed());
                    let given = engine.counts().generates;
                    samples.push(WorkSample { vm, after_notice, given });
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(no_new_work(&samples, grace))
    }

    /// Sets the faults of the key-value service.
    pub fn set_kv(&self, faults: Faults) {
        self.testbed.kv.switches().set(faults);
    }
}

/// Returns the number of violations of each kind as a text, in a fixed order, so that equal counts
/// always give the same text.
pub fn summarize_violations(violations: &[Violation]) -> String {
    let mut counts: BTreeMap<ViolationKind, usize> = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.broken).or_default() += 1;
    }
    if counts.is_empty() {
        return "promises kept".to_owned();
    }
    let counts = counts.iter().map(|(broken, count)| format!("{broken:?} {count}"));
    format!("broken: {}", counts.collect::<Vec<String>>().join(", "))
}

async fn wait_until(
    bound: Duration,
    what: &'static str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), ScenarioError> {
    let until = Instant::now() + bound;
    while !condition() {
        if until <= Instant::now() {
            return Err(ScenarioError::Timeout(what));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn testbed_error(error: impl std::fmt::Display) -> ScenarioError {
    ScenarioError::Testbed(error.to_string())
}
