//! Admission control under overload.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, TeamName};
use bulrushhall_policy::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SLOTS: usize = 40;
const STEP: Duration = Duration::from_millis(10);
const FIRST_TOKEN: Duration = Duration::from_millis(1_900);

/// The outcomes of a run of interactive requests.
#[derive(Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// A simulated fleet in which each request takes one second.
struct Fleet {
    admission: Admission,
    random: Pcg64Mcg,
    now: Stamp,
    due: BTreeMap<Ticket, Stamp>,
    ends: BTreeMap<(Stamp, Ticket), ()>,
    outcome: Outcome,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut admission = Admission::new(AdmissionOptions::default());
        admission.set_capacity(Stamp(0), SLOTS);
        Fleet {
            admission,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Stamp(0),
            due: BTreeMap::new(),
            ends: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    // Offers `factor` times the load that the fleet can serve.
    fn run(&mut self, span: Duration, factor: f64) -> Outcome {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            while let Some(((at, ticket), ())) = self.ends.pop_first() {
                if self.now < at {
                    self.ends.insert((at, ticket), ());
                    break;
                }
                let decisions = self.admission.finish(at, ticket);
                self.apply(decisions);
            }
            let decisions = self.admission.tick(self.now);
            self.apply(decisions);
            let mean = SLOTS as f64 * STEP.as_secs_f64() * factor;
            let arrivals = mean as usize + usize::from(self.random.random_bool(mean.fract()));
            for _ in 0..arrivals {
                self.submit();
            }
        }
        std::mem::take(&mut self.outcome)
    }

    fn submit(&mut self) {
        let req = AdmissionRequest {
            team: TeamName::new("floor").expect("a valid name"),
            priority: 0,
            tokens: 100,
            first_token_by: self.now + FIRST_TOKEN,
            deadline: self.now + Duration::from_secs(30),
            accepted: false,
        };
        let (ticket, decisions) = self.admission.submit(self.now, req, &mut self.random);
        self.due.insert(ticket, self.now + FIRST_TOKEN);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Accept(_) => {}
                Decision::Refuse(..) => self.outcome.refused += 1,
                Decision::Expire(_) => self.outcome.late += 1,
                Decision::Start(ticket) if self.now <= self.due[&ticket] => {
                    self.outcome.in_time += 1;
                    self.ends.insert((self.now + Duration::from_secs(1), ticket), ());
                }
                Decision::Start(ticket) => {
                    self.outcome.late += 1;
                    self.ends.insert((self.now + Duration::from_secs(1), ticket), ());
                }
            }
        }
    }
}

// More interactive requests arrive than the engines can serve. A queue that accepts all of them
// would grow until every first token is late, with all engines busy.
#[rstest]
#[case::double(2.0)]
#[case::fivefold(5.0)]
fn goodput_holds(#[case] factor: f64, #[values(1, 2, 3)] seed: u64) {
    let peak = Fleet::new(seed).run(Duration::from_secs(60), 1.0).in_time;
    let mut fleet = Fleet::new(seed);
    let outcome = fleet.run(Duration::from_secs(60), factor);
    assert!(
        peak * 95 <= outcome.in_time * 100,
        "{} in time of {peak} at the peak, {} late, {} refused",
        outcome.in_time,
        outcome.late,
        outcome.refused
    );
    assert!(outcome.late * 100 <= outcome.in_time, "{} late", outcome.late);
}

// After an overload the load falls to half of the capacity. Requests left in the queue must not
// cause further refusals; otherwise the overload would sustain itself without a cause.
#[test]
fn recovery_takes_seconds() {
    let mut fleet = Fleet::new(7);
    fleet.run(Duration::from_secs(60), 5.0);
    fleet.run(Duration::from_secs(3), 0.5);
    let after = fleet.run(Duration::from_secs(10), 0.5);
    assert_eq!(after.refused, 0);
    assert_eq!(after.late, 0);
}

// Interactive requests keep all engines busy. A background request that always yields to them would
// never finish before its deadline.
#[test]
fn background_requests_finish() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(5), 2.0);
    let mut started = Vec::new();
    let mut background = Vec::new();
    for _ in 0..5 {
        let req = AdmissionRequest {
            team: TeamName::new("archive").expect("a valid name"),
            priority: 5,
            tokens: 100,
            first_token_by: fleet.now + FIRST_TOKEN,
            deadline: fleet.now + Duration::from_secs(60),
            accepted: true,
        };
        let deadline = req.deadline;
        let (ticket, decisions) = fleet.admission.submit(fleet.now, req, &mut fleet.random);
        fleet.due.insert(ticket, deadline);
        background.push(ticket);
        fleet.apply(decisions);
    }
    while fleet.now < Stamp::from_millis(70_000) {
        fleet.run(STEP, 2.0);
        for (_, ticket) in fleet.ends.keys() {
            if background.contains(ticket) && !started.contains(ticket) {
                started.push(*ticket);
            }
        }
    }
    assert_eq!(started.len(), background.len());
}

// Callers that are refused together with the same retry delay would retry together, and be refused
// together again.
#[test]
fn retries_are_spread() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let options = AdmissionOptions { max_queued_tokens: 0, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);
    admission.set_capacity(Stamp(0), 1);
    let mut times = Vec::new();
    for _ in 0..100 {
        let req = AdmissionRequest {
            team: TeamName::new("floor").expect("a valid name"),
            priority: 0,
            tokens: 100,
            first_token_by: Stamp::from_millis(1_900),
            deadline: Stamp::from_millis(30_000),
            accepted: false,
        };
        let (ticket, decisions) = admission.submit(Stamp(0), req, &mut random);
        let [Decision::Refuse(refused, after)] = decisions[..] else { panic!("not refused") };
        assert_eq!(refused, ticket);
        times.push(after);
    }
    times.sort();
    times.dedup();
    assert_eq!(times.len(), 100);
    assert!(times[0] * 2 < times[99]);
}

// The deadlines of queued requests pass while there are no engines. Once engines return, expired
// requests must not be started before those that are still wanted.
#[test]
fn expired_never_start() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    let team = TeamName::new("archive").expect("a valid name");
    for deadline in [1_000, 9_000] {
        let req = AdmissionRequest {
            team: team.clone(),
            priority: 5,
            tokens: 10,
            first_token_by: Stamp::from_millis(deadline),
            deadline: Stamp::from_millis(deadline),
            accepted: true,
        };
        admission.submit(Stamp(0), req, &mut random);
    }
    let decisions = admission.set_capacity(Stamp::from_millis(2_000), 4);
    let starts = decisions.iter().filter(|one| matches!(one, Decision::Start(_))).count();
    let expired = decisions.iter().filter(|one| matches!(one, Decision::Expire(_))).count();
    assert_eq!((starts, expired), (1, 1));
}
