//! A soak test: rounds of load with random faults, after each of which all guarantees are checked.

use std::{fs, time::Duration};

use bulrushhall_standin::switches::Faults;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use crate::{
    TestbedOptions,
    check::Violation,
    load::{Mix, Plan},
    scenario::{Environment, ScenarioError},
};

/// How long requests arrive in one round.
const ROUND: Duration = Duration::from_secs(6);
/// The number of faults of one round.
const FAULTS_PER_ROUND: usize = 2;
/// The number of nodes that each round starts with.
const NODES: usize = 5;

/// A `Fault` is a fault that is injected in a round.
///
/// A fault of the key-value service ends early if a later one of the round replaces it or
/// [`Fault::Apply`] ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed without notice.
    NodeDies,
    /// A node is stopped gracefully.
    NodeStops,
    /// The key-value service is unavailable until the end of the round.
    KvOutage,
    /// The key-value service loses replies and applies writes late until the end of the round.
    KvLosesReplies,
    /// The key-value service is slow until the end of the round.
    KvSlow,
    /// A backend server of the plain service loses replies until the end of the round.
    OrdersLoseReplies,
    /// An engine does not respond until the end of the round.
    EngineFreezes,
    /// An operator applies a configuration.
    Apply,
}

/// A `Round` is the result of one round.
#[derive(Clone, Debug)]
pub struct Round {
    /// The number of the round.
    pub number: u64,
    /// The injected faults.
    pub faults: Vec<Fault>,
    /// The number of requests that were sent.
    pub sent: usize,
    /// The number of requests that did not finish, for any reason.
    pub unfinished: usize,
    /// The violated guarantees.
    pub violations: Vec<Violation>,
    /// The resident memory of the process after the round, in kilobytes.
    pub resident: u64,
    /// The number of open file descriptors of the process after the round.
    pub handles: usize,
}

/// A `Soak` is a soak test of one deployment.
pub struct Soak {
    environment: Environment,
    random: Pcg64Mcg,
    seed: u64,
    number: u64,
    applied: u64,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 8] = [
        Fault::NodeDies,
        Fault::NodeStops,
        Fault::KvOutage,
        Fault::KvLosesReplies,
        Fault::KvSlow,
        Fault::OrdersLoseReplies,
        Fault::EngineFreezes,
        Fault::Apply,
    ];
}

impl Soak {
    /// Starts a deployment; the seed determines load and faults.
    pub async fn start(seed: u64) -> Result<Soak, ScenarioError> {
        let options =
            TestbedOptions { nodes: NODES, engines: 6, services: 3, ..TestbedOptions::default() };
        let environment = Environment::start(options).await?;
        Ok(Soak { environment, random: Pcg64Mcg::seed_from_u64(seed), seed, number: 0, applied: 0 })
    }

    /// Runs one round and checks the guarantees.
    pub async fn round(&mut self) -> Result<Round, ScenarioError> {
        self.number += 1;
        let mut faults = Vec::new();
        for _ in 0..FAULTS_PER_ROUND {
            faults.push(Fault::ALL[self.random.random_range(0..Fault::ALL.len())]);
        }
        self.environment.start_load(self.plan())?;
        for fault in &faults {
            sleep(Duration::from_millis(self.random.random_range(300..1_500))).await;
            self.inject(*fault).await?;
        }
        let (sent, unfinished) = self.environment.wait_for_load().await?;
        self.end_faults();
        while self.environment.alive().len() < NODES {
            self.environment.add_node().await?;
        }
        self.environment.wait_for_members().await?;
        let violations = self.environment.judge();
        self.environment.clear_observations();
        let unfinished = unfinished.values().sum();
        let (resident, handles) = (resident(), open_descriptors());
        Ok(Round { number: self.number, faults, sent, unfinished, violations, resident, handles })
    }

    fn plan(&self) -> Plan {
        let mix = if self.number.is_multiple_of(2) { Mix::Guild } else { Mix::Newsroom };
        Plan {
            mix,
            rate: 12.0,
            length: ROUND,
            warm_up: Duration::ZERO,
            seed: self.seed * 1_000 + self.number,
            idle_timeout: Duration::from_secs(4),
            time_limit: Duration::from_secs(40),
            retries: 20,
            ..Plan::default()
        }
    }

    async fn inject(&mut self, fault: Fault) -> Result<(), ScenarioError> {
        let environment = &mut self.environment;
        match fault {
            Fault::NodeDies | Fault::NodeStops => {
                let alive = environment.alive();
                let node = &alive[self.random.random_range(0..alive.len())];
                match fault {
                    Fault::NodeDies => node.kill(),
                    _ => node.stop().await,
                }
            }
            Fault::KvOutage => environment.set_kv(Faults { outage: true, ..Faults::default() }),
            Fault::KvLosesReplies => {
                environment.set_kv(Faults { lost_replies: 0.4, late_ms: 200, ..Faults::default() });
            }
            Fault::KvSlow => environment.set_kv(Faults { slow_ms: 300, ..Faults::default() }),
            Fault::OrdersLoseReplies => {
                let services = &environment.testbed.services;
                let at = self.random.random_range(0..services.len());
                services[at].switches().set(Faults { lost_replies: 0.5, ..Faults::default() });
            }
            Fault::EngineFreezes => {
                let engines = &environment.testbed.engines;
                let at = self.random.random_range(0..engines.len());
                engines[at].switches().set(Faults { frozen: true, ..Faults::default() });
            }
            Fault::Apply => {
                // Ends the faults of the key-value service first: during an outage the operator,
                // and so the round, would wait for its end.
                environment.set_kv(Faults::default());
                self.applied += 1;
                environment.apply(&format!("class-{}", self.applied)).await.map(drop)?;
            }
        }
        Ok(())
    }

    fn end_faults(&self) {
        self.environment.set_kv(Faults::default());
        for service in &self.environment.testbed.services {
            service.switches().set(Faults::default());
        }
        for engine in &self.environment.testbed.engines {
            engine.switches().set(Faults::default());
        }
    }
}

fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn open_descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count())
}
