//! Mutated input for every decoder and for callers' requests gives a value or a typed error, never
//! a panic or a dead node.
//!
//! `FUZZ_CASES=1000000 cargo test --release -p bulrushhall-bench --test bad_input` runs more cases.

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

/// The environment variable that sets the number of cases of each test.
const CASES: &str = "FUZZ_CASES";
/// The default number of cases for a decoder.
const DEFAULT_CASES: usize = 3_000;
/// The default number of cases that are sent to a node.
const DEFAULT_REQUESTS: usize = 300;
/// The maximum number of mutations of one case.
const MAX_MUTATIONS: usize = 6;
/// Bytes that have a special meaning for one of the decoders.
const SPECIAL_BYTES: &[u8] = b"[]{}=\":,\n\\\x00\xc0\xdf\xdd\xff\x9f0-@";

fn cases(default: usize) -> usize {
    env::var(CASES).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
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
    for _ in 0..random.random_range(1..=MAX_MUTATIONS) {
        let at = random.random_range(0..=bytes.len());
        match random.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, SPECIAL_BYTES[random.random_range(0..SPECIAL_BYTES.len())]),
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
        Message::Copy { id, version, body, tokens: tokens.clone(), origin: None, end: None },
        Message::Progress { id, version, from: 1, tokens, origin: None, end: Some(Bytes::new()) },
        Message::Ask { id, version },
    ];
    let node = NodeName::new("entry-1").expect("a name");
    let from = Sender { node, incarnation: Incarnation(7), revision: Revision(2) };
    let envelope = Envelope { from, to: None, body: Batch { messages } };
    rmp_serde::to_vec_named(&envelope).expect("a frame")
}

fn decode(format: &str, bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    match format {
        "deployment" => parse_deployment("fuzzed", &text).is_ok(),
        "settings" => Settings::parse("fuzzed", &text).is_ok(),
        "peer" => rmp_serde::from_slice::<Envelope<Batch>>(bytes).is_ok(),
        "head" => Head::decode(bytes).is_ok(),
        "position" => text.parse::<StreamPosition>().is_ok(),
        _ => false,
    }
}

// A peer of another version, a corrupt document or a mistyped file contains unexpected bytes. A
// decoder that panicked on them would end a task that serves all other requests.
#[rstest]
#[case("deployment", corpus("deployment"))]
#[case("settings", corpus("settings"))]
#[case("peer", vec![peer_frame()])]
#[case("head", vec![Head::default().next(0x1f, "[zone suva-a]\n".to_owned()).encode().to_vec()])]
#[case("position", vec![b"r-1f-2:7".to_vec()])]
fn decoders_reject_mutated_input(#[case] format: &str, #[case] corpus: Vec<Vec<u8>>) {
    let mut random = Pcg64Mcg::seed_from_u64(8);
    for case in &corpus {
        assert!(decode(format, case), "{}", str::from_utf8(case).unwrap_or("binary"));
    }
    let mut rejected = 0;
    for number in 0..cases(DEFAULT_CASES) {
        let bytes = mutate(&corpus[number % corpus.len()], &mut random);
        rejected += usize::from(!decode(format, &bytes));
    }
    assert!(0 < rejected);
}

#[tokio::test]
async fn mutated_event_streams_are_read() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let corpus = corpus("events");
    for number in 0..cases(DEFAULT_CASES) {
        let bytes = Bytes::from(mutate(&corpus[number % corpus.len()], &mut random));
        let chunks = stream::iter([Ok::<Bytes, std::io::Error>(bytes.clone())]);
        let events: Vec<_> = chunks.eventsource().collect().await;
        assert!(events.len() <= bytes.len());
    }
}

// A caller sends malformed JSON bodies. None of them causes a server error, and the node still
// serves other requests afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn mutated_request_bodies_are_answered() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let endpoint = Endpoint::new(testbed.nodes[0].callers(), EndpointOptions::default());
    let mut random = Pcg64Mcg::seed_from_u64(10);
    let corpus = corpus("body");
    for number in 0..cases(DEFAULT_REQUESTS) {
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
