//! What nodes report to each other of the announcements of backend servers.

use bulrushhall_core::{Incarnation, NodeName, ServiceName, Stamp, ZoneName};
use bulrushhall_gateway::{
    adapter::{BackendRecord, BackendState},
    announcements::{receive_leaving, receive_limits},
    backends::LimitReport,
    gateway::State,
};
use rstest::rstest;

const SERVER: &str = "b-1";
const BORN: Option<u64> = Some(7);
const NOW_MS: u64 = 900_000;

fn state() -> State {
    let mut state = State::default();
    state.backends.upsert(Stamp::from_millis(NOW_MS), SERVER, record(BORN));
    state
}

fn record(born: Option<u64>) -> BackendRecord {
    BackendRecord {
        service: ServiceName::new("ledger").expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: ZoneName::new("zone-a").expect("a name"),
        slots: 4,
        state: BackendState::Ready,
        reclaimable: false,
        born,
        version: String::new(),
        sequence: None,
    }
}

fn report(per_second: Option<f64>) -> LimitReport {
    let (backend, born) = (SERVER.to_owned(), BORN);
    LimitReport { backend, born, per_second, age_ms: 100, author: Incarnation(1), number: 5 }
}

fn receive(state: &mut State, report: LimitReport) -> Option<f64> {
    let own = NodeName::new("node-1").expect("a name");
    receive_limits(state, Stamp::from_millis(NOW_MS), &own, vec![report]);
    state.backends.named_mut(SERVER).and_then(|backend| backend.announced.limit())
}

// Guards against a node that takes a malformed or foreign report for the limit of a server.
#[rstest]
#[case::not_a_number(LimitReport { per_second: Some(f64::NAN), ..report(None) })]
#[case::infinite(LimitReport { per_second: Some(f64::INFINITY), ..report(None) })]
#[case::negative(LimitReport { per_second: Some(-1.0), ..report(None) })]
#[case::too_old(LimitReport { age_ms: u64::MAX, ..report(Some(2.0)) })]
#[case::unknown_server(LimitReport { backend: "b-2".to_owned(), ..report(Some(2.0)) })]
#[case::other_incarnation(LimitReport { born: Some(8), ..report(Some(2.0)) })]
#[case::no_start_time(LimitReport { born: None, ..report(Some(2.0)) })]
fn ignored_report(#[case] ignored: LimitReport) {
    let mut state = state();
    assert_eq!(receive(&mut state, ignored.clone()), None);
    assert_eq!(receive(&mut state, report(Some(3.0))), Some(3.0));
    assert_eq!(receive(&mut state, ignored), Some(3.0));
}

// Guards against an earlier statement that comes back by way of other nodes and replaces a later one.
#[rstest]
#[case::same_author_earlier(LimitReport { number: 4, age_ms: 0, ..report(Some(9.0)) }, Some(3.0))]
#[case::same_author_again(LimitReport { age_ms: 0, ..report(Some(9.0)) }, Some(3.0))]
#[case::same_author_later(LimitReport { number: 6, age_ms: 500, ..report(None) }, None)]
#[case::other_author_older(
    LimitReport { author: Incarnation(2), age_ms: 200, ..report(None) },
    Some(3.0)
)]
#[case::other_author_younger(
    LimitReport { author: Incarnation(2), age_ms: 50, ..report(Some(9.0)) },
    Some(9.0)
)]
fn newest_wins(#[case] later: LimitReport, #[case] limit: Option<f64>) {
    let mut state = state();
    assert_eq!(receive(&mut state, report(Some(3.0))), Some(3.0));
    assert_eq!(receive(&mut state, later), limit);
}

// Guards against a server that loses its limit, or that it is leaving, when its record expires and is written again,
// and against another incarnation that inherits them.
#[rstest]
#[case::same_incarnation(BORN, Some(3.0), false)]
#[case::other_incarnation(Some(8), None, true)]
fn removed_record(#[case] born: Option<u64>, #[case] limit: Option<f64>, #[case] accepts: bool) {
    let mut state = state();
    receive(&mut state, report(Some(3.0)));
    receive_leaving(&mut state, vec![(SERVER.to_owned(), BORN)]);
    state.backends.remove(SERVER);
    state.backends.upsert(Stamp::from_millis(NOW_MS), SERVER, record(born));
    let backend = state.backends.named_mut(SERVER).expect("a server");
    assert_eq!((backend.announced.limit(), backend.accepts_work()), (limit, accepts));
}

// Guards against a server that is taken out of use by a report about another one.
#[rstest]
#[case::unknown_server("b-2", BORN)]
#[case::other_incarnation(SERVER, Some(8))]
#[case::no_start_time(SERVER, None)]
fn foreign_leaving(#[case] name: &str, #[case] born: Option<u64>) {
    let mut state = state();
    receive_leaving(&mut state, vec![(name.to_owned(), born)]);
    assert!(state.backends.named_mut(SERVER).is_some_and(|backend| backend.accepts_work()));
}

// Guards against digests that grow with the servers of a large service when all of them set limits, and against nodes that
// join later and are told nothing.
#[test]
fn limited_servers_in_digests() {
    const SERVERS: u64 = 860;
    const ROUNDS: u64 = 32;
    const MAX_BYTES: usize = 2_500;
    let mut state = State::default();
    let own = NodeName::new("node-1").expect("a name");
    let now = Stamp::from_millis(NOW_MS);
    for number in 0..SERVERS {
        let name = format!("i-{number:010x}");
        state.backends.upsert(now, &name, record(BORN));
        let report = LimitReport { backend: name, ..report(Some(2.5)) };
        receive_limits(&mut state, now, &own, vec![report]);
    }
    let later = Stamp::from_millis(NOW_MS + 5_000);
    let reports = (0..ROUNDS).map(|round| state.backends.limit_reports(later, round));
    let mut reported = 0;
    for reports in reports {
        reported += reports.len();
        let bytes = rmp_serde::to_vec_named(&reports).expect("plain reports");
        assert!(bytes.len() <= MAX_BYTES, "{} bytes in a digest", bytes.len());
        let read: Vec<LimitReport> = rmp_serde::from_slice(&bytes).expect("the same reports");
        assert_eq!(read, reports);
    }
    assert_eq!(reported as u64, SERVERS);
    assert_eq!(state.backends.limit_reports(now, 0).len() as u64, SERVERS);
}
