//! The run of a plan: requests are sent when they arrive, however slow the answers are.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time::sleep_until};

use crate::load::{Addresses, Arrival, Person, Plan, PlanError, Record, Report, arrivals};

/// Runs a plan against `entries` and returns what the callers saw.
pub async fn run(plan: Plan, entries: Vec<SocketAddr>) -> Result<Report, PlanError> {
    Session::start(plan, entries)?.finish().await
}

/// A `Session` is a run that goes on while its owner does something else, such as turning faults.
pub struct Session {
    plan: Arc<Plan>,
    people: Vec<Arc<Person>>,
    started: Instant,
    arrivals: std::vec::IntoIter<Arrival>,
    open: JoinSet<Record>,
}

impl Session {
    /// Checks a plan and lays out its arrivals; the time of the run starts here.
    pub fn start(plan: Plan, entries: Vec<SocketAddr>) -> Result<Session, PlanError> {
        plan.check(&entries)?;
        let arrivals = arrivals(&plan).into_iter();
        let plan = Arc::new(plan);
        let started = Instant::now();
        let mut people = Vec::new();
        for at in 0..plan.callers {
            let team = plan.teams[at % plan.teams.len()].clone();
            // Callers start at different entries, as if each had been given one of them.
            let mut seeds = entries.clone();
            seeds.rotate_left(at % entries.len());
            let addresses = Addresses::new(team.clone(), seeds, plan.silence);
            people.push(Arc::new(Person::new(team, addresses, Arc::clone(&plan), started)));
        }
        Ok(Session { plan, people, started, arrivals, open: JoinSet::new() })
    }

    /// Sends all that is still to arrive and waits for every answer.
    pub async fn finish(mut self) -> Result<Report, PlanError> {
        let mut records = Vec::new();
        for arrival in self.arrivals.by_ref() {
            sleep_until((self.started + arrival.at).into()).await;
            let person = Arc::clone(&self.people[arrival.caller]);
            self.open.spawn(async move { person.play(arrival).await });
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
