//! Admission under more work than there is capacity for.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, TeamName};
use bulrushhall_policy::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SLOTS: usize = 40;
const STEP: Duration = Duration::from_millis(10);
const FIRST_TOKEN: Duration = Duration::from_millis(1_900);

/// What a run of urgent requests came to.
#[derive(Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// A fleet that serves each request for one second.
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

    // Offers `factor` times the work that the fleet can do.
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
                self.carry_out(decisions);
            }
            let decisions = self.admission.tick(self.now);
            self.carry_out(decisions);
            let mean = SLOTS as f64 * STEP.as_secs_f64() * factor;
            let arrivals = mean as usize + usize::from(self.random.random_bool(mean.fract()));
            for _ in 0..arrivals {
                self.arrive();
            }
        }
        std::mem::take(&mut self.outcome)
    }

    fn arrive(&mut self) {
        let wait = AdmissionRequest {
            team: TeamName::new("floor").expect("a valid name"),
            priority: 0,
            tokens: 100,
            first_token_by: self.now + FIRST_TOKEN,
            deadline: self.now + Duration::from_secs(30),
            accepted: false,
        };
        let (ticket, decisions) = self.admission.arrive(self.now, wait, &mut self.random);
        self.due.insert(ticket, self.now + FIRST_TOKEN);
        self.carry_out(decisions);
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
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

// More urgent requests arrive than the engines can serve. A queue that takes them all grows until
// every first token is late: the engines are busy and no caller is content.
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

// The load falls to half after an overload. Work left in the queue must not keep new callers
// refused: that would be a state that holds itself up with no cause left.
#[test]
fn recovery_takes_seconds() {
    let mut fleet = Fleet::new(7);
    fleet.run(Duration::from_secs(60), 5.0);
    fleet.run(Duration::from_secs(3), 0.5);
    let after = fleet.run(Duration::from_secs(10), 0.5);
    assert_eq!(after.refused, 0);
    assert_eq!(after.late, 0);
}

// Urgent requests fill the engines for good. A survey that only ever yields would never finish,
// and the craftsman who sent it would get nothing by its stated bound.
#[test]
fn patient_work_finishes() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(5), 2.0);
    let mut starts = Vec::new();
    let mut surveys = Vec::new();
    for _ in 0..5 {
        let wait = AdmissionRequest {
            team: TeamName::new("archive").expect("a valid name"),
            priority: 5,
            tokens: 100,
            first_token_by: fleet.now + FIRST_TOKEN,
            deadline: fleet.now + Duration::from_secs(60),
            accepted: true,
        };
        let deadline = wait.deadline;
        let (ticket, decisions) = fleet.admission.arrive(fleet.now, wait, &mut fleet.random);
        fleet.due.insert(ticket, deadline);
        surveys.push(ticket);
        fleet.carry_out(decisions);
    }
    while fleet.now < Stamp::from_millis(70_000) {
        fleet.run(STEP, 2.0);
        for (_, ticket) in fleet.ends.keys() {
            if surveys.contains(ticket) && !starts.contains(ticket) {
                starts.push(*ticket);
            }
        }
    }
    assert_eq!(starts.len(), surveys.len());
}

// Callers that are refused together and told the same time come back together, and are refused
// together again.
#[test]
fn retries_are_spread() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let options = AdmissionOptions { queued_tokens: 0, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);
    admission.set_capacity(Stamp(0), 1);
    let mut times = Vec::new();
    for _ in 0..100 {
        let wait = AdmissionRequest {
            team: TeamName::new("floor").expect("a valid name"),
            priority: 0,
            tokens: 100,
            first_token_by: Stamp::from_millis(1_900),
            deadline: Stamp::from_millis(30_000),
            accepted: false,
        };
        let (ticket, decisions) = admission.arrive(Stamp(0), wait, &mut random);
        let [Decision::Refuse(refused, after)] = decisions[..] else { panic!("not refused") };
        assert_eq!(refused, ticket);
        times.push(after);
    }
    times.sort();
    times.dedup();
    assert_eq!(times.len(), 100);
    assert!(times[0] * 2 < times[99]);
}

// Requests outlive their deadline in the queue while no engine runs. Once engines come back, work
// that nobody waits for any more must not be started before work that is still wanted.
#[test]
fn expired_never_start() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    let team = TeamName::new("archive").expect("a valid name");
    for deadline in [1_000, 9_000] {
        let wait = AdmissionRequest {
            team: team.clone(),
            priority: 5,
            tokens: 10,
            first_token_by: Stamp::from_millis(deadline),
            deadline: Stamp::from_millis(deadline),
            accepted: true,
        };
        admission.arrive(Stamp(0), wait, &mut random);
    }
    let decisions = admission.set_capacity(Stamp::from_millis(2_000), 4);
    let started = decisions.iter().filter(|one| matches!(one, Decision::Start(_))).count();
    let expired = decisions.iter().filter(|one| matches!(one, Decision::Expire(_))).count();
    assert_eq!((started, expired), (1, 1));
}
