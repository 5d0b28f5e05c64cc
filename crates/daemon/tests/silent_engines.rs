//! Engines and plain services that send nothing for a while and then go on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{
    Caller, CallerError, StreamedAnswer, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL},
};
use bulrushhall_core::Ran;
use bulrushhall_standin::{engine::expected_answer, service::ServiceOptions, switches::Faults};
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

/// The requests of one test.
const REQUESTS: usize = 8;
/// The most tokens of an answer; half of them take half a second.
const TOKENS: u32 = 80;
/// How long the servers send nothing.
const SILENCE: Duration = Duration::from_millis(1_300);
/// A limit for silent engines that the silence exceeds.
const SHORT_LIMIT: Duration = Duration::from_millis(500);
/// How long a call runs at a plain service.
const WORK: Duration = Duration::from_millis(400);
/// How soon an answer is whole whose engine is dead, beyond the limit for silent ones and the time of the answer.
const TAKEOVER_LIMIT: Duration = Duration::from_millis(3_000);
/// The time limit of plain services, and how much longer a call may take that is being opened.
const TIME_LIMIT: Duration = Duration::from_secs(10);
const END_MARGIN: Duration = Duration::from_millis(1_300);
/// The time limit for the requests to reach a moment.
const MOMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// When servers fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// Before the requests arrive.
    Before,
    /// While they have few of their tokens.
    Middle,
    /// While the last ones have nearly all.
    End,
}

impl Moment {
    fn tokens(self) -> usize {
        let all: usize = (0..REQUESTS).map(|it| expected(it).split_whitespace().count()).sum();
        match self {
            Moment::Before => 0,
            Moment::Middle => all / 5,
            Moment::End => all - 5,
        }
    }
}

fn expected(number: usize) -> String {
    expected_answer(&format!("user: survey {number}\n"), TOKENS)
}

fn options(limit: Option<Duration>) -> TestbedOptions {
    let mut options = TestbedOptions { nodes: 2, ..TestbedOptions::default() };
    if let Some(limit) = limit {
        options.settings.limits.engine_progress = limit.into();
    }
    options
}

async fn start(options: TestbedOptions) -> Arc<Testbed> {
    Arc::new(Testbed::start(options).await.expect("a testbed"))
}

fn set_silent(testbed: &Testbed, count: usize, silent: bool) {
    for engine in &testbed.engines[..count] {
        engine.switches().set(Faults { silent, ..Faults::default() });
    }
    for service in testbed.services.iter().take(count) {
        service.switches().set(Faults { silent, ..Faults::default() });
    }
}

type Chats = Vec<JoinHandle<Result<StreamedAnswer, CallerError>>>;

fn send_chats(testbed: &Testbed) -> Chats {
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let caller = testbed.caller(number % testbed.nodes.len());
        sent.push(tokio::spawn(async move {
            caller.chat(MODEL, "urgent", &format!("survey {number}"), TOKENS).await
        }));
    }
    sent
}

async fn assert_whole(sent: Chats) {
    for (number, answer) in sent.into_iter().enumerate() {
        let answer = answer.await.expect("a caller").expect("an answer");
        assert!(answer.whole, "{number}: {answer:?}");
        assert_eq!(answer.text, expected(number), "{number}");
    }
}

async fn reach(testbed: &Testbed, moment: Moment) {
    let until = Instant::now() + MOMENT_TIMEOUT;
    let computed = || testbed.engines.iter().map(|it| it.counts().computed_tokens).sum::<u64>();
    while computed() < moment.tokens() as u64 {
        assert!(Instant::now() < until, "the requests do not reach the moment");
        sleep(Duration::from_millis(2)).await;
    }
}

fn generates(testbed: &Testbed) -> u64 {
    testbed.engines.iter().map(|engine| engine.counts().generates).sum()
}

// Guards against an answer that is lost, or joined wrongly, because its engine is silent for a while.
#[rstest]
#[case::one(1, 1)]
#[case::some(3, 1)]
#[case::all(3, 3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_stay_whole(
    #[case] engines: usize,
    #[case] silent: usize,
    #[values(Moment::Before, Moment::Middle, Moment::End)] moment: Moment,
    #[values(None, Some(SHORT_LIMIT))] limit: Option<Duration>,
) {
    let testbed = start(TestbedOptions { engines, ..options(limit) }).await;
    if moment == Moment::Before {
        set_silent(&testbed, silent, true);
    }
    let sent = send_chats(&testbed);
    reach(&testbed, moment).await;
    set_silent(&testbed, silent, true);
    sleep(SILENCE).await;
    set_silent(&testbed, silent, false);
    assert_whole(sent).await;
    if limit.is_none() {
        assert_eq!(generates(&testbed), REQUESTS as u64);
    }
}

// Guards against an answer that waits for a dead engine although another one could go on with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dead_engine_is_left() {
    let testbed = start(TestbedOptions { engines: 2, ..options(Some(SHORT_LIMIT)) }).await;
    let sent = send_chats(&testbed);
    reach(&testbed, Moment::Middle).await;
    set_silent(&testbed, 1, true);
    let silent_since = Instant::now();
    assert_whole(sent).await;
    let took = silent_since.elapsed();
    assert!(took < SHORT_LIMIT + TAKEOVER_LIMIT, "{took:?}");
}

async fn call(caller: &Caller, path: &str, number: usize) -> Result<Value, CallerError> {
    let uri = format!("/v1/services/{LEDGER}/{path}");
    let key = format!("k-{number}");
    let (method, headers) = match path {
        "orders" => (Method::POST, vec![("idempotency-key", key.as_str())]),
        _ => (Method::GET, Vec::new()),
    };
    caller.json(method, &uri, &headers, &json!({})).await
}

// Guards against a call that is lost, or runs twice, because its server is silent for a while.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_run_once(
    #[values("stock", "orders")] path: &'static str,
    #[values((1, 1), (3, 1), (3, 3))] (services, silent): (usize, usize),
    #[values(Moment::Before, Moment::Middle)] moment: Moment,
) {
    let service = ServiceOptions { work: WORK, ..ServiceOptions::default() };
    let options = TestbedOptions { services, service, engines: 3, ..options(None) };
    let testbed = start(options).await;
    if moment == Moment::Before {
        set_silent(&testbed, silent, true);
    }
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let caller = testbed.caller(number % testbed.nodes.len());
        sent.push(tokio::spawn(async move { call(&caller, path, number).await }));
    }
    sleep(WORK / 2).await;
    set_silent(&testbed, silent, true);
    sleep(SILENCE).await;
    set_silent(&testbed, silent, false);
    for (number, response) in sent.into_iter().enumerate() {
        let response = response.await.expect("a caller").expect("an answer");
        let runs = u64::from(path == "orders");
        assert_eq!(response["run"].as_u64(), Some(runs), "{number}");
    }
    let calls: u64 = testbed.services.iter().map(|service| service.calls()).sum();
    assert_eq!(calls, REQUESTS as u64);
}

// Guards against a call that waits for a dead server although another one could take it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn dead_service_is_left(#[values("stock", "orders")] path: &'static str) {
    let testbed = start(TestbedOptions { services: 2, ..options(None) }).await;
    set_silent(&testbed, 1, true);
    for number in 0..testbed.nodes.len() {
        let sent_at = Instant::now();
        call(&testbed.caller(number), path, number).await.expect("an answer");
        assert!(sent_at.elapsed() < SILENCE, "{:?}", sent_at.elapsed());
    }
}

// Guards against a call that outlasts the time limit of its service, or is said to have run, because its server stays silent.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn time_limit_holds(#[values("stock", "orders")] path: &'static str) {
    let testbed = start(options(None)).await;
    set_silent(&testbed, 1, true);
    let sent_at = Instant::now();
    let response = call(&testbed.caller(0), path, 0).await;
    let took = sent_at.elapsed();
    assert!(matches!(response, Err(CallerError::Refused { ran: Ran::No, .. })), "{response:?}");
    assert!(TIME_LIMIT <= took && took < TIME_LIMIT + END_MARGIN, "{took:?}");
}

// Guards against a call that is sent shortly before its time limit, and then has all its time once more.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_send_is_cut(#[values("stock", "orders")] path: &'static str) {
    let service = ServiceOptions { work: TIME_LIMIT - SILENCE, ..ServiceOptions::default() };
    let testbed = start(TestbedOptions { service, ..options(None) }).await;
    set_silent(&testbed, 1, true);
    let caller = testbed.caller(0);
    let sent_at = Instant::now();
    let sent = tokio::spawn(async move { call(&caller, path, 0).await });
    sleep(TIME_LIMIT / 2).await;
    set_silent(&testbed, 1, false);
    let response = sent.await.expect("a caller");
    let took = sent_at.elapsed();
    assert!(response.is_err(), "{response:?}");
    assert!(took < TIME_LIMIT + END_MARGIN, "{took:?}");
}
