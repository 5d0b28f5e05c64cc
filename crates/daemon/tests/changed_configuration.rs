//! Whole requests beside changes of the configuration.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_bench::{
    Probe, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL, SERVICE},
};
use bulrushhall_core::Ran;
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::{engine::expected_answer, service::ServiceOptions};
use hyper::Method;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

/// The callers of a play.
const CALLERS: u64 = 16;
/// The duration of a play in CI, and the time between two changes in it, so that each kind occurs.
const SHORT_PLAY: Duration = Duration::from_millis(3_600);
const SHORT_PAUSE: Duration = Duration::from_millis(120);
/// The duration of a play that is run by hand.
const LONG_PLAY: Duration = Duration::from_secs(25);
/// How long a request may take, the time without its service included.
const MAX_TIME: Duration = Duration::from_secs(10);
/// The tokens of an answer, which takes 0.3 s.
const TOKENS: u32 = 20;
/// The answers without which a play shows little.
const MIN_ANSWERED: usize = 20;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Chat,
    Stream,
    Submit,
    Order,
    Lookup,
}

const KINDS: [Kind; 5] = [Kind::Chat, Kind::Stream, Kind::Submit, Kind::Order, Kind::Lookup];

#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    answered: usize,
    refused: usize,
    changes: usize,
    faults: Vec<String>,
}

/// How a request ended.
enum End {
    Answered,
    Refused(Ran),
    Fault(String),
}

struct Caller {
    address: SocketAddr,
    number: u64,
    random: Pcg64Mcg,
    tally: Tally,
    /// The keys of the orders that were refused as not run, and of those that were answered.
    not_run: Vec<String>,
    run: Vec<String>,
}

impl Caller {
    async fn send_until(mut self, end: Instant) -> Caller {
        let probe = Probe::new(self.address).with("x-team", "workshop");
        while Instant::now() < end {
            let kind = KINDS[self.random.random_range(0..KINDS.len())];
            let key = format!("k-{}-{}", self.number, self.tally.sent);
            self.tally.sent += 1;
            let began = Instant::now();
            let ended = timeout(MAX_TIME, send(&probe, self.address, kind, &key)).await;
            match ended {
                Ok(End::Answered) => {
                    self.tally.answered += 1;
                    self.run.extend((kind == Kind::Order).then_some(key));
                }
                Ok(End::Refused(ran)) => {
                    self.tally.refused += 1;
                    let is_not_run = kind == Kind::Order && ran == Ran::No;
                    self.not_run.extend(is_not_run.then_some(key));
                }
                Ok(End::Fault(fault)) => {
                    let took = began.elapsed();
                    self.tally.faults.push(format!("{kind:?} {key} {took:?}: {fault}"));
                }
                Err(_) => self.tally.faults.push(format!("{kind:?} {key}: held")),
            }
        }
        self
    }
}

fn prompt(key: &str) -> String {
    format!("user: {key}\n")
}

fn chat(key: &str, is_stream: bool) -> String {
    json!({
        "model": MODEL, "messages": [{"role": "user", "content": key}], "max_tokens": TOKENS,
        "stream": is_stream
    })
    .to_string()
}

async fn send(probe: &Probe, address: SocketAddr, kind: Kind, key: &str) -> End {
    let orders = format!("/v1/services/{LEDGER}/orders");
    let stock = format!("/v1/services/{LEDGER}/stock");
    let chats = "/v1/chat/completions";
    let reply = match kind {
        Kind::Chat => probe.send(Method::POST, chats, chat(key, false)).await,
        Kind::Stream => probe.send(Method::POST, chats, chat(key, true)).await,
        Kind::Submit => probe.send(Method::POST, "/v1/requests", chat(key, false)).await,
        Kind::Lookup => probe.send(Method::GET, &stock, "").await,
        Kind::Order => {
            let probe = Probe::new(address).with("x-team", "workshop");
            let probe = probe.with("idempotency-key", key);
            probe.send(Method::POST, &orders, "{}").await
        }
    };
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => return End::Fault(error.to_string()),
    };
    if !reply.status.is_success() {
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        return reply.ran().map_or(End::Fault(format!("{} {text}", reply.status)), End::Refused);
    }
    let expected = expected_answer(&prompt(key), TOKENS);
    let found = match kind {
        Kind::Chat => content(&reply.json()),
        Kind::Stream => {
            let events = reply.events();
            if events.last().is_none_or(|last| last != "[DONE]") {
                return End::Fault(format!("a stream of {} events without an end", events.len()));
            }
            events.iter().map(|event| delta(event)).collect()
        }
        Kind::Submit => return read_submitted(probe, &reply.json(), &expected).await,
        Kind::Order | Kind::Lookup => return End::Answered,
    };
    if found == expected { End::Answered } else { End::Fault(format!("answered {found:?}")) }
}

// Reads an accepted request until it ends; its team may be unknown for a time.
async fn read_submitted(probe: &Probe, accepted: &Value, expected: &str) -> End {
    let Some(id) = accepted["id"].as_str() else { return End::Fault(accepted.to_string()) };
    let path = format!("/v1/requests/{id}");
    loop {
        let Ok(shown) = probe.send(Method::GET, &path, "").await else {
            return End::Fault("a read that got no answer".to_owned());
        };
        let value = shown.json();
        match value["status"].as_str() {
            Some("finished") if content(&value["completion"]) == expected => return End::Answered,
            Some("queued" | "running") => {}
            None if shown.status.as_u16() == 401 => {}
            _ => return End::Fault(value.to_string()),
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn content(completion: &Value) -> String {
    completion["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

fn delta(event: &str) -> String {
    let event: Value = serde_json::from_str(event).unwrap_or_default();
    event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
}

// Returns configurations that differ from the first one in one matter.
fn changed(text: &str) -> Vec<String> {
    let without = |names: &[&str]| {
        let sections = text.split_inclusive("\n\n");
        let kept = sections
            .filter(|section| !names.iter().any(|name| section.starts_with(&format!("[{name}]"))));
        kept.collect::<String>()
    };
    let ledger = format!("service {LEDGER}");
    let (desk, model) = (format!("service {SERVICE}"), format!("model {MODEL}"));
    let first_backend = |text: &str| {
        let lines = text.lines().map(|line| match line.split_once(", ") {
            Some((first, _)) if line.starts_with("backends") => first.to_owned(),
            _ => line.to_owned(),
        });
        lines.collect::<Vec<_>>().join("\n")
    };
    vec![
        format!("{text}\n[class brief]\npriority = 2\ndeadline = 8s\n"),
        format!("{text}\n[team newcomers]\nshare = 3\n"),
        without(&["team workshop"]),
        without(&["team archive"]),
        without(&["class urgent"]),
        without(&[&ledger]),
        without(&[&model]),
        without(&[&desk, &model]),
        first_backend(text),
        text.replace("non_repeatable = /orders", "non_repeatable = /orders, /stock"),
        text.replace("priority = 0", "priority = 7"),
        text.replace("share = 1", "share = 4"),
    ]
}

async fn change(testbed: &Testbed, seed: u64, every: Duration, end: Instant) -> usize {
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let kv = HttpKeyValue::new(endpoint);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut changed = changed(&testbed.config);
    changed.shuffle(&mut random);
    let mut changes = 0;
    for text in changed.iter().cycle() {
        if end <= Instant::now() {
            break;
        }
        for text in [text, &testbed.config] {
            changes += usize::from(config_chain::apply(&kv, None, text).await.is_ok());
            sleep(every).await;
        }
    }
    changes
}

async fn play(seed: u64, time: Duration, every: Duration) -> Tally {
    let service = ServiceOptions { work: Duration::from_millis(60), ..ServiceOptions::default() };
    let options =
        TestbedOptions { nodes: 2, engines: 2, services: 2, service, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let end = Instant::now() + time;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let address = testbed.nodes[number as usize % testbed.nodes.len()].callers();
        let random = Pcg64Mcg::seed_from_u64(seed * 1_000 + number);
        let (tally, not_run, run) = (Tally::default(), Vec::new(), Vec::new());
        let caller = Caller { address, number, random, tally, not_run, run };
        callers.push(tokio::spawn(caller.send_until(end)));
    }
    let mut total = Tally { changes: change(&testbed, seed, every, end).await, ..Tally::default() };
    let mut ended = Vec::new();
    for caller in callers {
        ended.push(caller.await.expect("a caller"));
    }
    let ledger = Arc::clone(&testbed.ledger);
    let runs: BTreeMap<String, u32> = ledger.counts().runs;
    for caller in ended {
        total.sent += caller.tally.sent;
        total.answered += caller.tally.answered;
        total.refused += caller.tally.refused;
        total.faults.extend(caller.tally.faults);
        let ran =
            |key: &&String| runs.keys().any(|run| run.contains(&**key) && run.ends_with(&**key));
        let false_refusals = caller.not_run.iter().filter(ran);
        total
            .faults
            .extend(false_refusals.map(|key| format!("{key}: refused as not run, and ran")));
        let missing = caller.run.iter().filter(|key| !ran(key));
        total.faults.extend(missing.map(|key| format!("{key}: answered without a run")));
    }
    if ledger.duplicated_keys() != 0 {
        total.faults.push(format!("{} orders ran twice", ledger.duplicated_keys()));
    }
    total
}

// Guards against a whole request that ends without an answer or a refusal beside a change of the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn all_end() {
    let tally = play(7, SHORT_PLAY, SHORT_PAUSE).await;
    assert!(tally.faults.is_empty(), "{tally:#?}");
    assert!(0 < tally.changes && 0 < tally.refused, "{tally:?}");
    assert!(MIN_ANSWERED < tally.answered, "{tally:?}");
}

#[rstest]
#[ignore = "many seeds, run by hand"]
#[tokio::test(flavor = "multi_thread")]
async fn many_seeds(#[values(0, 1, 2)] seed: u64, #[values(50, 400)] every_ms: u64) {
    let tally = play(seed, LONG_PLAY, Duration::from_millis(every_ms)).await;
    let _ = writeln!(io::stderr(), "seed {seed}, every {every_ms} ms: {tally:#?}");
    assert!(tally.faults.is_empty());
}
