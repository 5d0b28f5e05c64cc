//! Runs a plan open-loop: each request is sent at its arrival time, however slow the answers are.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time::sleep_until};

use crate::load::{
    Arrival, EntryCache, Plan, PlanError, Record, Report, SimulatedCaller, arrivals,
};

/// Runs a plan against `entries` and returns its report.
pub async fn run(plan: Plan, entries: Vec<SocketAddr>) -> Result<Report, PlanError> {
    Session::start(plan, entries)?.finish().await
}

/// A `Session` is a run that its owner can combine with other actions, such as injecting faults.
pub struct Session {
    plan: Arc<Plan>,
    callers: Vec<Arc<SimulatedCaller>>,
    started: Instant,
    arrivals: std::vec::IntoIter<Arrival>,
    open: JoinSet<Record>,
}

impl Session {
    /// Checks a plan and generates its arrivals; the time of the run starts here.
    pub fn start(plan: Plan, entries: Vec<SocketAddr>) -> Result<Session, PlanError> {
        plan.check(&entries)?;
        let arrivals = arrivals(&plan).into_iter();
        let plan = Arc::new(plan);
        let started = Instant::now();
        let mut callers = Vec::new();
        for at in 0..plan.callers {
            let team = plan.teams[at % plan.teams.len()].clone();
            // Callers start at different entries, as if each were configured with a different one.
            let mut seeds = entries.clone();
            seeds.rotate_left(at % entries.len());
            let cache = EntryCache::new(team.clone(), seeds, plan.idle_timeout);
            callers.push(Arc::new(SimulatedCaller::new(team, cache, Arc::clone(&plan), started)));
        }
        Ok(Session { plan, callers, started, arrivals, open: JoinSet::new() })
    }

    /// Sends all requests at their arrival times and waits for every answer.
    pub async fn finish(mut self) -> Result<Report, PlanError> {
        let mut records = Vec::new();
        for arrival in self.arrivals.by_ref() {
            sleep_until((self.started + arrival.at).into()).await;
            let caller = Arc::clone(&self.callers[arrival.caller]);
            self.open.spawn(async move { caller.perform(arrival).await });
            while let Some(Ok(record)) = self.open.try_join_next() {
                records.push(record);
            }
        }
        while let Some(ended) = self.open.join_next().await {
            records.extend(ended);
        }
        records.sort_by_key(|record: &Record| record.number);
        let length: Duration = self.started.elapsed();
        Ok(Report::new(&self.plan, length, records))
    }
}
