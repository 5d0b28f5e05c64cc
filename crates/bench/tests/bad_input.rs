//! Mutated input at every border: a typed error or a value, never a panic or a lost node.
//!
//! `FUZZ_CASES=1000000 cargo test --release -p bulrushhall-bench --test bad_input` is the long run.

use std::{env, fs, path::PathBuf, str};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_coord::{Head, Message, Version};
use bulrushhall_core::{
    Incarnation, NodeName, RequestId, Revision, config::parse_deployment, ids::StreamPosition,
};
use bulrushhall_daemon::{
    Settings,
    handoff::Batch,
    peers::{Envelope, Sender},
};
use bulrushhall_external::http::{Endpoint, EndpointOptions};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{StreamExt, stream};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// The variable that sets how many cases each decoder is given.
const CASES: &str = "FUZZ_CASES";
/// The cases in a usual run.
const FEW: usize = 3_000;
/// The cases that are sent to a whole node in a usual run.
const SENT: usize = 300;
/// The most mutations of one case.
const MUTATIONS: usize = 6;
/// Bytes that mean something to one of the decoders.
const TELLING: &[u8] = b"[]{}=\":,\n\\\x00\xc0\xdf\xdd\xff\x9f0-@";

fn cases(usual: usize) -> usize {
    env::var(CASES).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn corpus(name: &str) -> Vec<Vec<u8>> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("corpus").join(name);
    let mut paths: Vec<PathBuf> =
        fs::read_dir(path).expect("a corpus").flatten().map(|entry| entry.path()).collect();
    paths.sort();
    paths.iter().map(|path| fs::read(path).expect("a case")).collect()
}

fn mutate(case: &[u8], random: &mut Pcg64Mcg) -> Vec<u8> {
    let mut bytes = case.to_vec();
    for _ in 0..random.random_range(1..=MUTATIONS) {
        let at = random.random_range(0..=bytes.len());
        match random.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, TELLING[random.random_range(0..TELLING.len())]),
            2 if at < bytes.len() => bytes[at] = random.random(),
            3 if at < bytes.len() => drop(bytes.remove(at)),
            _ => {
                let from = random.random_range(0..=at);
                let part = bytes[from..at].to_vec();
                bytes.extend(part);
            }
        }
    }
    bytes
}

fn peer_frame() -> Vec<u8> {
    let version = Version { epoch: 0, generation: 1, owner: Incarnation(7) };
    let id = RequestId { origin: Incarnation(7), sequence: 3 };
    let (tokens, body) = (vec!["clay1 ".to_owned()], Bytes::from_static(b"body"));
    let messages = vec![
        Message::Copy { id, version, body, tokens: tokens.clone(), end: None },
        Message::Progress { id, version, from: 1, tokens, end: Some(Bytes::new()) },
        Message::Ask { id, version },
    ];
    let node = NodeName::new("entry-1").expect("a name");
    let from = Sender { node, incarnation: Incarnation(7), revision: Revision(2) };
    let envelope = Envelope { from, to: None, body: Batch { messages } };
    rmp_serde::to_vec_named(&envelope).expect("a frame")
}

fn decode(border: &str, bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    match border {
        "deployment" => parse_deployment("fuzzed", &text).is_ok(),
        "settings" => Settings::parse("fuzzed", &text).is_ok(),
        "peer" => rmp_serde::from_slice::<Envelope<Batch>>(bytes).is_ok(),
        "head" => Head::decode(bytes).is_ok(),
        "position" => text.parse::<StreamPosition>().is_ok(),
        _ => false,
    }
}

// A peer of another version, a damaged document or a mistyped file brings bytes that nobody
// thought of. A decoder that panicked on them would end the task that serves everyone else.
#[rstest]
#[case("deployment", corpus("deployment"))]
#[case("settings", corpus("settings"))]
#[case("peer", vec![peer_frame()])]
#[case("head", vec![Head::default().next(0x1f, "[zone suva-a]\n".to_owned()).encode().to_vec()])]
#[case("position", vec![b"r-1f-2:7".to_vec()])]
fn decoders(#[case] border: &str, #[case] corpus: Vec<Vec<u8>>) {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    for case in &corpus {
        assert!(decode(border, case), "{}", str::from_utf8(case).unwrap_or("binary"));
    }
    let mut refused = 0;
    for number in 0..cases(FEW) {
        let bytes = mutate(&corpus[number % corpus.len()], &mut random);
        refused += usize::from(!decode(border, &bytes));
    }
    assert!(0 < refused);
}

#[tokio::test]
async fn event_streams() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let corpus = corpus("events");
    for number in 0..cases(FEW) {
        let bytes = Bytes::from(mutate(&corpus[number % corpus.len()], &mut random));
        let chunks = stream::iter([Ok::<Bytes, std::io::Error>(bytes.clone())]);
        let events: Vec<_> = chunks.eventsource().collect().await;
        assert!(events.len() <= bytes.len());
    }
}

// A caller sends bodies that are almost JSON. Each gets an answer that says what is wrong, and the
// node goes on serving others.
#[tokio::test(flavor = "multi_thread")]
async fn caller_bodies() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let endpoint = Endpoint::new(testbed.nodes[0].callers(), EndpointOptions::default());
    let mut random = Pcg64Mcg::seed_from_u64(10);
    let corpus = corpus("body");
    for number in 0..cases(SENT) {
        let bytes = mutate(&corpus[number % corpus.len()], &mut random);
        let req = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header("x-team", "workshop")
            .body(Full::new(Bytes::from(bytes.clone())))
            .expect("a request");
        let answer = endpoint.send(req).await.expect("an answer");
        let status = answer.status();
        assert!(!status.is_server_error(), "{status} for {:?}", String::from_utf8_lossy(&bytes));
    }
    let answered = testbed.caller(0).chat(MODEL, "urgent", "which kiln", 4).await;
    assert!(answered.expect("an answer").whole);
}
