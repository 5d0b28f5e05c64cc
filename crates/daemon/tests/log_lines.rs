//! The log lines of a daemon that runs as a separate process.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::SocketAddr,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use bulrushhall_bench::{
    Caller, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL},
};
use bulrushhall_core::Event;
use hyper::Method;
use serde_json::{Value, json};

const PROMPT: &str = "the-secret-of-the-cobalt-glaze";
const KEY: &str = "order-key-of-the-workshop";
const FILTER: &str = "bulrushhall_daemon=trace,bulrushhall_external=trace,info";

// Operators may share logs with third parties, so logs must contain no prompts or idempotency keys at any
// level. The test enables all levels.
#[tokio::test(flavor = "multi_thread")]
async fn known_events_without_private_data() {
    let options = TestbedOptions { nodes: 0, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("stand-ins");
    let path = std::env::temp_dir().join(format!("bulrushd-log-{}.ini", std::process::id()));
    let mut f = std::fs::File::create(&path).expect("a settings file");
    let kv = testbed.kv.address();
    write!(f, "[node]\nname = entry-1\nzone = suva-a\n\n[platform]\nkey_value = {kv}\n")
        .expect("written settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_bulrushd"))
        .arg("--settings")
        .arg(&path)
        .args(["--log-format", "json", "--log-filter", FILTER])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a started daemon");
    let mut stderr = child.stderr.take().expect("the logs");
    let reading = std::thread::spawn(move || {
        let mut text = String::new();
        let _ = stderr.read_to_string(&mut text);
        text
    });
    let mut line = String::new();
    let out = child.stdout.take().expect("the output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let ready: Value =
        serde_json::from_str(line.trim_start_matches("ready ")).expect("the ports in JSON");
    let callers: SocketAddr =
        ready["callers"].as_str().expect("an address").parse().expect("an address");

    let caller = Caller::new(callers, "workshop");
    let deadline = Instant::now() + Duration::from_secs(10);
    while caller.chat(MODEL, "urgent", PROMPT, 4).await.is_err() {
        assert!(Instant::now() < deadline, "no answer");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let path = format!("/v1/services/{LEDGER}/orders");
    let order = json!({ "glaze": PROMPT });
    let headers = [("idempotency-key", KEY)];
    let _ = caller.json(Method::POST, &path, &headers, &order).await;
    let refused = json!({ "model": "none", "messages": [{ "role": "user", "content": PROMPT }] });
    let refused = caller.json(Method::POST, "/v1/chat/completions", &[], &refused).await;
    assert!(refused.is_err());
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal");
    assert!(sent.success());
    assert!(child.wait().expect("an exit").success());

    let logs = reading.join().expect("the logs");
    assert!(!logs.contains(PROMPT), "{logs}");
    assert!(!logs.contains(KEY), "{logs}");
    let mut numbers = Vec::new();
    for line in logs.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"));
        numbers.extend(line["fields"]["event"].as_u64());
    }
    let expected =
        [Event::NodeStarted, Event::RequestRefused, Event::NodeLeaving, Event::NodeStopped];
    for event in expected {
        assert!(numbers.contains(&u64::from(event.number())), "{event:?} in {numbers:?}");
    }
    let known = |number: &u64| Event::ALL.iter().any(|at| u64::from(at.number()) == *number);
    assert!(numbers.iter().all(known), "{numbers:?}");
}

#[test]
fn invalid_filter() {
    let path = std::env::temp_dir().join(format!("bulrushd-filter-{}.ini", std::process::id()));
    std::fs::write(&path, "[log]\nfilter = a=b=c\n").expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_bulrushd"))
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("a daemon that ends");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("settings"), "{stderr}");
}
