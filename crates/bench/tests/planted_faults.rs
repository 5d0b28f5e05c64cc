//! Each checker detects a fault that is injected into a trace, and accepts a clean trace.

use std::time::Duration;

use bulrushhall_bench::{
    check::{
        Observation, ViolationKind, WorkSample, accepted_requests_end, at_most_once,
        complete_and_matching, judge, no_new_work, planned_stop_cuts_nothing,
        refused_calls_did_not_run, spreads_and_never_reverts,
    },
    load::{Kind, Outcome, Phase, Record},
};
use bulrushhall_core::{NodeName, Ran, Revision, VmName};
use bulrushhall_standin::{engine::expected_answer, service::ServiceCounts};
use rstest::rstest;

fn chat() -> Record {
    Record {
        number: 1,
        kind: Kind::Chat,
        class: "urgent".to_owned(),
        team: "workshop".to_owned(),
        phase: Phase::Measured,
        planned: Duration::ZERO,
        ended: Duration::from_millis(300),
        request: Some("r-1-1".to_owned()),
        accepted: true,
        outcome: Outcome::Finished,
        ran: Ran::Yes,
        code: None,
        first_token: Some(Duration::from_millis(40)),
        gaps: Vec::new(),
        prompt: "which kiln".to_owned(),
        max_tokens: 16,
        text: expected_answer("user: which kiln\n", 16),
        duplicated: 0,
        skipped: 0,
        reconnects: 0,
        moves: 0,
        refusals: 0,
        retries: 0,
        key: None,
    }
}

fn order(outcome: Outcome, ran: Ran) -> Record {
    let (kind, key) = (Kind::Order, Some("k-1".to_owned()));
    let accepted = outcome == Outcome::Finished;
    Record { kind, key, outcome, ran, accepted, text: String::new(), ..chat() }
}

fn ran_times(runs: u32) -> ServiceCounts {
    let runs = (0 < runs).then(|| ("k-1".to_owned(), runs));
    ServiceCounts { runs: runs.into_iter().collect() }
}

#[test]
fn clean_trace() {
    let records = [chat(), order(Outcome::Finished, Ran::Yes)];
    assert_eq!(judge(&records, &ran_times(1)), []);
    assert_eq!(planned_stop_cuts_nothing(&records), []);
}

#[rstest]
#[case(Outcome::Cut, None)]
#[case(Outcome::Failed, Some("backend_failed"))]
fn accepted_lost(#[case] outcome: Outcome, #[case] code: Option<&str>) {
    let lost = Record { outcome, code: code.map(str::to_owned), ..chat() };
    assert_eq!(accepted_requests_end(&[lost])[0].broken, ViolationKind::AcceptedLost);
}

#[rstest]
#[case(Record { text: expected_answer("user: another\n", 16), ..chat() }, ViolationKind::NotOwn)]
#[case(Record { text: "clay".to_owned(), ..chat() }, ViolationKind::NotOwn)]
#[case(Record { text: expected_answer("user: which kiln\n", 16)[..6].to_owned(), ..chat() },
    ViolationKind::NotWhole)]
#[case(Record { duplicated: 1, ..chat() }, ViolationKind::NotWhole)]
#[case(Record { skipped: 1, ..chat() }, ViolationKind::NotWhole)]
fn wrong_answer(#[case] record: Record, #[case] broken: ViolationKind) {
    assert_eq!(complete_and_matching(&[record])[0].broken, broken);
}

#[test]
fn ran_twice() {
    let records = [order(Outcome::Finished, Ran::Yes)];
    assert_eq!(at_most_once(&records, &ran_times(2))[0].broken, ViolationKind::RanTwice);
    assert_eq!(at_most_once(&records, &ran_times(0))[0].broken, ViolationKind::NeverRan);
}

#[test]
fn ran_though_refused() {
    let refused = [order(Outcome::Refused, Ran::No)];
    assert_eq!(
        refused_calls_did_not_run(&refused, &ran_times(1))[0].broken,
        ViolationKind::RanThoughRefused
    );
    assert_eq!(refused_calls_did_not_run(&refused, &ran_times(0)), []);
    let unknown = [order(Outcome::Refused, Ran::Unknown)];
    assert_eq!(refused_calls_did_not_run(&unknown, &ran_times(1)), []);
}

#[rstest]
#[case(Record { outcome: Outcome::Cut, ..chat() })]
#[case(Record { reconnects: 1, ..chat() })]
fn cut_by_stop(#[case] record: Record) {
    assert_eq!(planned_stop_cuts_nothing(&[record])[0].broken, ViolationKind::CutByStop);
}

#[test]
fn work_while_leaving() {
    let vm = VmName::new("vm-1").expect("a name");
    let sample = |seconds, given| WorkSample {
        vm: vm.clone(),
        after_notice: Duration::from_secs(seconds),
        given,
    };
    let grace = Duration::from_secs(3);
    assert_eq!(no_new_work(&[sample(0, 5), sample(2, 9), sample(4, 9), sample(8, 9)], grace), []);
    let broken = no_new_work(&[sample(0, 5), sample(4, 9), sample(8, 10)], grace);
    assert_eq!(broken[0].broken, ViolationKind::WorkWhileLeaving);
}

#[test]
fn config_reverted_or_late() {
    let node = NodeName::new("entry-1").expect("a name");
    let seen = |seconds, revision| Observation {
        node: node.clone(),
        at: Duration::from_secs(seconds),
        revision: Revision(revision),
    };
    let accepted = [(Revision(1), Duration::ZERO), (Revision(2), Duration::from_secs(20))];
    let bound = Duration::from_secs(12);
    let check = |seen: &[Observation]| spreads_and_never_reverts(seen, &accepted, bound);
    assert_eq!(check(&[seen(1, 0), seen(12, 1), seen(31, 1), seen(32, 2)]), []);
    assert_eq!(check(&[seen(32, 1)])[0].broken, ViolationKind::ConfigLate);
    assert_eq!(check(&[seen(21, 2), seen(22, 1)])[0].broken, ViolationKind::ConfigReverted);
}
