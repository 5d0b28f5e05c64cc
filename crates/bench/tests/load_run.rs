//! The load tool: planned arrivals, bounds of plans, comparison of reports, and a run against a
//! testbed.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_bench::{
    Testbed, TestbedOptions,
    check::judge,
    compare::{Allowances, Verdict, compare},
    load::{Kind, Latency, Mix, Plan, PlanError, arrivals, run},
};
use bulrushhall_standin::engine::EngineOptions;
use rstest::rstest;

fn short_plan(mix: Mix) -> Plan {
    Plan {
        mix,
        rate: 40.0,
        length: Duration::from_secs(2),
        warm_up: Duration::from_millis(500),
        requests: 60,
        ..Plan::default()
    }
}

#[rstest]
#[case(Mix::Guild)]
#[case(Mix::Newsroom)]
fn same_seed_gives_same_arrivals(#[case] mix: Mix) {
    let plan = Plan { rate: 500.0, ..short_plan(mix) };
    assert_eq!(arrivals(&plan), arrivals(&plan));
    assert_ne!(arrivals(&plan), arrivals(&Plan { seed: 2, ..plan.clone() }));
    for kind in [Kind::Chat, Kind::Patient, Kind::Order, Kind::Lookup] {
        let of_kind = arrivals(&Plan { requests: 500, ..plan.clone() });
        assert!(of_kind.iter().any(|arrival| arrival.kind == kind), "{kind:?}");
    }
}

#[rstest]
#[case("10.0.0.1:80", 1.0, PlanError::NotLoopback("10.0.0.1:80".parse().expect("an address")))]
#[case("127.0.0.1:80", 0.0, PlanError::NotPositive("rate"))]
#[case("127.0.0.1:80", 1e9, PlanError::TooLarge)]
fn invalid_plan_is_rejected(
    #[case] entry: SocketAddr,
    #[case] rate: f64,
    #[case] error: PlanError,
) {
    let plan = Plan { rate, requests: usize::MAX, ..Plan::default() };
    assert_eq!(plan.check(&[entry]), Err(error));
}

#[rstest]
#[case(Mix::Guild)]
#[case(Mix::Newsroom)]
#[tokio::test(flavor = "multi_thread")]
async fn run_against_testbed(#[case] mix: Mix) {
    let engine = EngineOptions { speed: 20.0, ..EngineOptions::default() };
    let options = TestbedOptions { nodes: 3, engines: 3, engine, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let entries = testbed.nodes.iter().map(|node| node.callers()).collect();

    let report = run(short_plan(mix), entries).await.expect("a run");
    let violations = judge(&report.records, &testbed.ledger.counts());
    assert_eq!(violations, []);
    assert_eq!(report.records.len(), arrivals(&short_plan(mix)).len());
    let finished: u64 = report.summaries.values().map(|summary| summary.finished).sum();
    let sent: u64 = report.summaries.values().map(|summary| summary.sent).sum();
    assert_eq!(finished, sent);

    let mut later = report.clone();
    assert_eq!(compare(&report, &later, Allowances::default()), Verdict::Held);
    let chat = later.summaries.get_mut(&Kind::Chat).expect("chats");
    chat.first_token = Latency { p95: chat.first_token.p95 * 2 + 10_000, ..chat.first_token };
    let verdict = compare(&report, &later, Allowances::default());
    assert!(matches!(verdict, Verdict::Worse(worse) if worse.len() == 1));
}
