//! Weighted fair sharing and the order of starts in an admission queue.

use std::collections::BTreeMap;

use bulrushhall_core::{Stamp, TeamName};
use bulrushhall_policy::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a valid name")
}

fn wait(name: &str, priority: u8, tokens: u32) -> AdmissionRequest {
    AdmissionRequest {
        team: team(name),
        priority,
        tokens,
        first_token_by: Stamp::from_millis(1_000_000),
        deadline: Stamp::from_millis(2_000_000),
        accepted: false,
    }
}

fn started(decisions: &[Decision]) -> Vec<Ticket> {
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Start(ticket) => Some(*ticket),
        _ => None,
    });
    starts.collect()
}

// Runs one request after the other and returns the teams in the order of their starts.
fn order_of_starts(
    admission: &mut Admission,
    teams: &BTreeMap<Ticket, &'static str>,
) -> Vec<&'static str> {
    let mut order = Vec::new();
    let mut now = Stamp(0);
    let mut open = started(&admission.set_capacity(now, 1));
    while let Some(ticket) = open.pop() {
        order.push(teams[&ticket]);
        now = now + std::time::Duration::from_millis(10);
        open.extend(started(&admission.finish(now, ticket)));
    }
    order
}

// One team submits a hundred requests before four small teams submit two each. In arrival order
// the small teams would wait for all of the large team's work, and their callers would see their
// first tokens minutes late.
#[test]
fn small_teams_pass() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    let mut teams = BTreeMap::new();
    for _ in 0..100 {
        let (ticket, _) = admission.arrive(Stamp(0), wait("large", 5, 1_000), &mut random);
        teams.insert(ticket, "large");
    }
    for name in ["one", "two", "three", "four"] {
        for _ in 0..2 {
            let (ticket, _) = admission.arrive(Stamp(0), wait(name, 5, 1_000), &mut random);
            teams.insert(ticket, name);
        }
    }
    let order = order_of_starts(&mut admission, &teams);
    let last_small = order.iter().rposition(|name| *name != "large");
    assert_eq!(order.len(), 108);
    assert!(last_small <= Some(11), "a small team started last at {last_small:?}");
}

#[rstest]
#[case::equal(1, 1, 50)]
#[case::double(2, 1, 66)]
#[case::triple(3, 1, 75)]
fn shares_hold(#[case] left: u32, #[case] right: u32, #[case] expected: usize) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    admission.set_shares(BTreeMap::from([(team("left"), left), (team("right"), right)]));
    let mut teams = BTreeMap::new();
    for _ in 0..100 {
        for name in ["left", "right"] {
            let (ticket, _) = admission.arrive(Stamp(0), wait(name, 5, 500), &mut random);
            teams.insert(ticket, name);
        }
    }
    let order = order_of_starts(&mut admission, &teams);
    let lefts = order[..100].iter().filter(|name| **name == "left").count();
    assert!(expected.abs_diff(lefts) <= 1, "{lefts} of the first 100 starts");
}

// A team that was idle for long must not then take all service until it has caught up: the other
// teams' callers would see a gap for which they are not to blame.
#[test]
fn idle_time_saves_nothing() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    let mut now = Stamp(0);
    admission.set_capacity(now, 1);
    let mut open = Vec::new();
    for _ in 0..200 {
        let (_, decisions) = admission.arrive(now, wait("busy", 5, 100), &mut random);
        open.extend(started(&decisions));
        now = now + std::time::Duration::from_millis(10);
        for ticket in std::mem::take(&mut open) {
            open.extend(started(&admission.finish(now, ticket)));
        }
    }
    admission.set_capacity(now, 0);
    let mut teams = BTreeMap::new();
    for name in ["busy", "idle"] {
        for _ in 0..20 {
            let (ticket, _) = admission.arrive(now, wait(name, 5, 100), &mut random);
            teams.insert(ticket, name);
        }
    }
    let first = order_of_starts(&mut admission, &teams);
    let idle = first[..20].iter().filter(|name| **name == "idle").count();
    assert!((9..=11).contains(&idle), "{idle} of the first 20 starts");
}

#[test]
fn patient_never_blocks() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut admission = Admission::new(AdmissionOptions::default());
    admission.set_capacity(Stamp(0), 10);
    for _ in 0..50 {
        admission.arrive(Stamp(0), wait("archive", 5, 1_000), &mut random);
    }
    assert_eq!(admission.running(), 9, "patient work leaves a reserve");
    for _ in 0..10 {
        let (ticket, decisions) = admission.arrive(Stamp(0), wait("floor", 0, 100), &mut random);
        assert_eq!(started(&decisions), [ticket], "the engine makes room for urgent work");
    }
}

// A node resumes a request whose engine was taken away while the queue is full. Refusing it would
// break off an answer that was promised.
#[test]
fn resumed_go_first() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let options = AdmissionOptions { queued_tokens: 5_000, ..AdmissionOptions::default() };
    let mut admission = Admission::new(options);
    let mut teams = BTreeMap::new();
    for _ in 0..5 {
        let (ticket, _) = admission.arrive(Stamp(0), wait("floor", 5, 1_000), &mut random);
        teams.insert(ticket, "new");
    }
    let resumed = AdmissionRequest { accepted: true, ..wait("floor", 5, 1_000) };
    let (ticket, decisions) = admission.arrive(Stamp(0), resumed, &mut random);
    assert_eq!(decisions, [Decision::Accept(ticket)]);
    teams.insert(ticket, "resumed");
    assert_eq!(order_of_starts(&mut admission, &teams)[0], "resumed");
}
