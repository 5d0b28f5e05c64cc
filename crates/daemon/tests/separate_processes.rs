//! Requests are served end to end by daemons that run as separate processes.

use std::{
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bulrushhall_bench::{
    Caller, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL},
};
use bulrushhall_standin::engine::expected_answer;
use hyper::Method;
use serde_json::{Value, json};

struct Daemon {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon(kv: SocketAddr, name: &str) -> Daemon {
    let path = std::env::temp_dir().join(format!("bulrushd-{}-{name}.ini", std::process::id()));
    let mut f = std::fs::File::create(&path).expect("a settings file");
    write!(f, "[node]\nname = {name}\nzone = suva-a\n\n[platform]\nkey_value = {kv}\n")
        .expect("written settings");
    let mut child = Command::new(env!("CARGO_BIN_EXE_bulrushd"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a started daemon");

    let out = child.stdout.take().expect("the daemon's output");
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).expect("a line");
    let ready = line.strip_prefix("ready ").expect("a line that lists the ports");
    let ready: Value = serde_json::from_str(ready).expect("JSON");
    let callers = ready["callers"].as_str().expect("an address").parse().expect("an address");
    Daemon { child, callers }
}

async fn wait_until_ready(caller: &Caller) {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let models = caller.json(Method::GET, "/v1/models", &[], &Value::Null).await;
        if models.is_ok_and(|models| models["data"][0]["id"] == MODEL) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the daemon did not load the configuration");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_served_end_to_end() {
    let options = TestbedOptions { nodes: 0, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("stand-ins");
    let daemon = start_daemon(testbed.kv.address(), "entry-1");
    let caller = Caller::new(daemon.callers, "workshop");
    wait_until_ready(&caller).await;

    let answered = caller.chat(MODEL, "urgent", "which kiln", 32).await.expect("an answer");
    assert!(answered.whole);
    assert_eq!(answered.text, expected_answer("user: which kiln\n", 32));

    let path = format!("/v1/services/{LEDGER}/orders");
    let headers = [("idempotency-key", "k-1")];
    for _ in 0..3 {
        let order = json!({ "pigment": "cobalt" });
        caller.json(Method::POST, &path, &headers, &order).await.expect("an order");
    }
    assert_eq!(testbed.ledger.counts().runs["k-1"], 1);
}

// A daemon is stopped while a caller reads an answer. If the stream were cut, the caller would have
// a partial answer without an end.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_completes_stream() {
    let options = TestbedOptions { nodes: 0, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("stand-ins");
    let mut daemon = start_daemon(testbed.kv.address(), "entry-2");
    let caller = Caller::new(daemon.callers, "workshop");
    wait_until_ready(&caller).await;

    let reading = tokio::spawn(async move { caller.chat(MODEL, "urgent", "long", 100).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let pid = daemon.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal");
    assert!(sent.success());

    let answered = reading.await.expect("a reader").expect("an answer");
    assert!(answered.whole, "cut after {} tokens", answered.gaps.len() + 1);
    assert!(daemon.child.wait().expect("an exit").success());
}
