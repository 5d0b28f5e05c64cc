//! The demo breaks no promise during reclaims, and a served deployment can be used by others.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use bulrushhall_bench::{Caller, Probe, testbed::MODEL};
use hyper::{Method, StatusCode};
use serde_json::Value;

const TOOL: &str = env!("CARGO_BIN_EXE_bulrush");

struct ServedDemo {
    child: Child,
    ready: Value,
}

impl Drop for ServedDemo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn serve() -> ServedDemo {
    let mut child = Command::new(TOOL)
        .args(["demo", "--serve", "--seconds", "60"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a started demo");
    let out = child.stdout.take().expect("the demo's output");
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).expect("a line");
    let ready = line.strip_prefix("ready ").expect("a line with the addresses");
    ServedDemo { child, ready: serde_json::from_str(ready).expect("JSON") }
}

fn address(value: &Value) -> SocketAddr {
    value.as_str().expect("an address").parse().expect("an address")
}

// Two of four zones are reclaimed, the second before the VMs of the first have ended; the VMs run
// nodes, engines and plain services. Every caller whose request was accepted must receive its whole
// response, and no order may run twice.
#[test]
fn overlapping_reclaims() {
    let run = Command::new(TOOL)
        .args(["demo", "--json", "--seed", "7", "--seconds", "15"])
        .output()
        .expect("a finished demo");
    let out = String::from_utf8(run.stdout).expect("text");
    let outcome: Value = serde_json::from_str(out.lines().last().expect("a line")).expect("JSON");
    assert_eq!(outcome["broken_promises"], serde_json::json!([]));
    assert_eq!(outcome["orders_run_more_than_once"], 0);
    for class in ["chat", "patient", "order", "lookup"] {
        let figures = &outcome["classes"][class];
        assert!(figures["sent"].as_u64().is_some_and(|sent| 0 < sent), "{class}: {figures}");
        assert_eq!(figures["cut"], 0, "{class}");
        assert_eq!(figures["duplicated"], 0, "{class}");
        assert_eq!(figures["accepted"], figures["finished"], "{class}");
    }
    assert!(run.status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn served_deployment() {
    let served = serve();
    let entries = served.ready["entries"].as_array().expect("entries");
    assert_eq!(entries.len(), 5);
    let caller = Caller::new(address(&entries[0]), "workshop");
    let answered = caller.chat(MODEL, "urgent", "a question", 8).await.expect("an answer");
    assert!(answered.whole);

    let operators = Probe::new(address(&served.ready["operators"][0]));
    let ready = operators.send(Method::GET, "/readyz", "").await.expect("an answer");
    assert_eq!(ready.status, StatusCode::OK);
}

// A VM with an engine is killed without notice through the served deployment's fault port. The
// remaining engines must answer the requests that follow.
#[tokio::test(flavor = "multi_thread")]
async fn killed_engine() {
    let served = serve();
    let faults = Probe::new(address(&served.ready["faults"]));
    let killed = faults.send(Method::POST, "/kill/vm-engine-0", "").await.expect("an answer");
    assert_eq!(killed.status, StatusCode::OK);
    let unknown = faults.send(Method::POST, "/kill/vm-engine-99", "").await.expect("an answer");
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);

    let caller = Caller::new(address(&served.ready["entries"][0]), "workshop");
    for number in 0..20 {
        let prompt = format!("question {number}");
        let answered = caller.chat(MODEL, "urgent", &prompt, 4).await.expect("an answer");
        assert!(answered.whole);
    }
    let counts = faults.send(Method::GET, "/counts", "").await.expect("an answer").json();
    assert!(counts["engines"]["generates"].as_u64().is_some_and(|count| 20 <= count));
}
