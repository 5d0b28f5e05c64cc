//! A running deployment with load on it, as a scenario acts on it.

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
    check::{Broken, Violation, WorkSample, judge, no_new_work, planned_stop_cuts_nothing},
    load::{Outcome, Plan, PlanError, Record, Report, Session},
    scenario::{
        ScenarioError,
        watch::{BOUND, RevisionWatch},
    },
    testbed::NodeProcess,
};

/// The pause between two looks at something that is to come about.
const LOOK: Duration = Duration::from_millis(20);
/// The time in which nodes are to know each other.
const MEMBERS: Duration = Duration::from_secs(30);
/// The names of what can't be found or does not come about.
const LOAD: &str = "load";

/// An `Environment` is a running deployment with load on it.
pub struct Environment {
    /// The deployment.
    pub testbed: Testbed,
    watch: RevisionWatch,
    load: Option<JoinHandle<Result<Report, PlanError>>>,
    records: Vec<Record>,
    noticed: Option<Instant>,
    next_node: usize,
}

impl Environment {
    /// Starts a deployment and waits until all its nodes know each other.
    pub async fn start(options: TestbedOptions) -> Result<Environment, ScenarioError> {
        let testbed = Testbed::start(options).await.map_err(failed)?;
        let watch = RevisionWatch::start(&testbed.nodes);
        let next_node = testbed.nodes.len();
        let (records, noticed) = (Vec::new(), None);
        let environment = Environment { testbed, watch, load: None, records, noticed, next_node };
        environment.wait_for_members().await?;
        Ok(environment)
    }

    /// Returns the nodes that live.
    pub fn alive(&self) -> Vec<Arc<NodeProcess>> {
        let alive = self.testbed.nodes.iter().filter(|node| node.is_alive());
        alive.map(Arc::clone).collect()
    }

    /// Waits until each living node knows all others and no more.
    pub async fn wait_for_members(&self) -> Result<usize, ScenarioError> {
        let alive = self.alive();
        let others = alive.len().saturating_sub(1);
        within(MEMBERS, "nodes that know each other", || {
            alive.iter().all(|node| node.context().members.current().len() == others)
        })
        .await?;
        Ok(alive.len())
    }

    /// Waits until all living nodes have the newest accepted configuration in force.
    pub async fn wait_for_config(&self, revision: Revision) -> Result<(), ScenarioError> {
        within(BOUND, "the configuration everywhere", || {
            self.alive().iter().all(|node| revision <= node.context().in_force().revision)
        })
        .await
    }

    /// Starts one more node.
    pub async fn add_node(&mut self) -> Result<(), ScenarioError> {
        let at = self.next_node;
        self.next_node += 1;
        let zone = self.testbed.zone_of(at);
        self.testbed.add_node(at, zone, &Default::default()).await.map_err(failed)?;
        let added = self.testbed.nodes.last().ok_or(ScenarioError::NotThere("node"))?;
        self.watch.add(added);
        Ok(())
    }

    /// Lets go of ended nodes and of all that was seen so far.
    pub fn clear_observations(&mut self) {
        for node in self.testbed.nodes.iter().filter(|node| !node.is_alive()) {
            self.testbed.machines.kill(&node.context().settings.node.vm);
        }
        self.testbed.nodes.retain(|node| node.is_alive());
        self.watch.clear_observations();
        self.records = Vec::new();
    }

    /// Announces the reclaim of all VMs of a zone.
    pub fn reclaim(&mut self, zone: &str, notice: Duration) -> usize {
        self.noticed = Some(Instant::now());
        self.testbed.reclaim_zone(zone, notice).len()
    }

    /// Applies the configuration with one more class and returns its revision.
    pub async fn apply(&mut self, class: &str) -> Result<Revision, ScenarioError> {
        self.testbed.config.push_str(&format!("\n[class {class}]\npriority = 3\n"));
        let address = self.testbed.kv.address();
        let kv = HttpKeyValue::new(Endpoint::new(address, EndpointOptions::default()));
        let applied = config_chain::apply(&kv, None, &self.testbed.config).await;
        let revision = applied.map_err(failed)?.revision;
        self.watch.accepted(revision);
        Ok(revision)
    }

    /// Starts to send load; it goes on while the scenario does other things.
    pub fn start_load(&mut self, plan: Plan) -> Result<(), ScenarioError> {
        let session = Session::start(plan, self.testbed.entries()).map_err(failed)?;
        self.load = Some(tokio::spawn(session.finish()));
        Ok(())
    }

    /// Waits until the load has ended; returns how many requests there were and those that did
    /// not finish, by how they ended.
    pub async fn wait_for_load(
        &mut self,
    ) -> Result<(usize, BTreeMap<Outcome, usize>), ScenarioError> {
        let load = self.load.take().ok_or(ScenarioError::NotThere(LOAD))?;
        let report = load.await.map_err(failed)?.map_err(failed)?;
        let sent = report.records.len();
        let mut others: BTreeMap<Outcome, usize> = BTreeMap::new();
        for record in report.records.iter().filter(|it| it.outcome != Outcome::Finished) {
            *others.entry(record.outcome).or_default() += 1;
        }
        self.records.extend(report.records);
        Ok((sent, others))
    }

    /// Judges all promises that hold whatever happened; returns the broken ones with their counts.
    pub fn judge(&self) -> Vec<Violation> {
        let mut violations = judge(&self.records, &self.testbed.ledger.counts());
        violations.extend(self.watch.judge());
        violations
    }

    /// Judges that no stream was cut, in a scenario whose only disturbances are planned stops.
    pub fn judge_stops(&self) -> Vec<Violation> {
        planned_stop_cuts_nothing(&self.records)
    }

    /// Judges that engines of a zone got no work later than `grace` after the last notice.
    pub async fn judge_leaving(
        &self,
        zone: &str,
        grace: Duration,
        length: Duration,
    ) -> Result<Vec<Violation>, ScenarioError> {
        let noticed = self.noticed.ok_or(ScenarioError::NotThere("notice"))?;
        let mut samples = Vec::new();
        sleep((noticed + grace).saturating_duration_since(Instant::now())).await;
        while noticed.elapsed() < grace + length {
            for (at, engine) in self.testbed.engines.iter().enumerate() {
                if self.testbed.zone_of(at) == zone {
                    let (vm, after_notice) = (engine.vm().clone(), noticed.elapsed());
                    let given = engine.counts().generates;
                    samples.push(WorkSample { vm, after_notice, given });
                }
            }
            sleep(LOOK).await;
        }
        Ok(no_new_work(&samples, grace))
    }

    /// Sets the faults of the key-value service.
    pub fn set_kv(&self, faults: Faults) {
        self.testbed.kv.switches().set(faults);
    }
}

/// Returns how often each promise was broken, as words that are the same every time.
pub fn summarize_violations(violations: &[Violation]) -> String {
    let mut counts: BTreeMap<Broken, usize> = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.broken).or_default() += 1;
    }
    if counts.is_empty() {
        return "promises kept".to_owned();
    }
    let counts = counts.iter().map(|(broken, count)| format!("{broken:?} {count}"));
    format!("broken: {}", counts.collect::<Vec<String>>().join(", "))
}

async fn within(
    bound: Duration,
    what: &'static str,
    mut is_so: impl FnMut() -> bool,
) -> Result<(), ScenarioError> {
    let until = Instant::now() + bound;
    while !is_so() {
        if until <= Instant::now() {
            return Err(ScenarioError::Late(what));
        }
        sleep(LOOK).await;
    }
    Ok(())
}

fn failed(error: impl std::fmt::Display) -> ScenarioError {
    ScenarioError::Testbed(error.to_string())
}
