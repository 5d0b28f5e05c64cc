//! `bulrush rollout` against a node that serves routes.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;

use std::{net::SocketAddr, process::Command, sync::Arc, time::Duration};

use harness::{
    Harness, LEDGER, TestServer,
    backend::{Backend, Behavior},
    caller::post,
    document::{CONFIG_KEY, ROLLOUT_KEY, ROLLOUT_STATUS_KEY, default_config},
    start_server,
    store::Fault,
    wait_until,
};
use hyper::{Request, Response, body::Incoming};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

struct Operator {
    store: SocketAddr,
}

impl Operator {
    fn of(harness: &Harness) -> Operator {
        Operator { store: harness.store_server.address }
    }

    async fn run(&self, args: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bulrush"));
        command.env_remove("BULRUSH_METRICS").env("BULRUSH_KEY_VALUE", self.store.to_string());
        command.arg("rollout").args(args);
        let output = tokio::task::spawn_blocking(move || command.output().expect("the tool"));
        let output = output.await.expect("its output");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().expect("an exit code"), text)
    }

    async fn json(&self, args: &[&str]) -> Value {
        let (code, text) = self.run(&[args, &["--json"]].concat()).await;
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).expect("JSON")
    }

    async fn exit_code(&self, args: &[&str]) -> i32 {
        self.run(args).await.0
    }

    async fn state(&self) -> Value {
        self.json(&["show", LEDGER]).await["rollout"]["state"].clone()
    }
}

async fn add_versions(harness: &Harness) -> Vec<TestServer> {
    let mut servers = Vec::new();
    for (name, version) in [("b-1", "v1"), ("b-2", "v1"), ("b-3", "v2"), ("b-4", "v2")] {
        let backend = Backend::new(name, Behavior::Complete);
        servers.push(harness.add_backend_of(LEDGER, &backend, version).await);
    }
    servers
}

// An operator orders a roll-out with the tool, sees it run with its evidence, and gives it up; an order must reach the same
// decision as one that was written by other means.
#[tokio::test(flavor = "multi_thread")]
async fn ordered_shown_aborted() {
    let harness = Harness::start().await;
    let _servers = add_versions(&harness).await;
    let operator = Operator::of(&harness);
    assert_eq!(operator.json(&["list"]).await, json!([]));
    assert_eq!(operator.exit_code(&["order", LEDGER, "v2", "--within", "60s"]).await, 0);
    wait_until(async || operator.state().await == "in_progress").await;
    let callers = harness.ports.callers;
    for number in 0..20 {
        assert_eq!(post(callers, &format!("a-{number}"), "/look/1").await.status, 200);
    }
    let listed = operator.json(&["list"]).await;
    assert_eq!(listed[0]["target"], "v2");
    assert_eq!(listed[0]["within_s"], 60.0);

    assert_eq!(operator.exit_code(&["order", LEDGER, "v3", "--within", "60s"]).await, 4);
    assert_eq!(operator.exit_code(&["abort", LEDGER]).await, 0);
    let status = || harness.store.get(ROLLOUT_STATUS_KEY).expect("a state");
    wait_until(async || String::from_utf8_lossy(&status()).contains("reverted")).await;
    assert_eq!(operator.exit_code(&["show", LEDGER]).await, 7);
    assert_eq!(operator.exit_code(&["abort", LEDGER]).await, 7);
    assert_eq!(operator.exit_code(&["order", LEDGER, "v2", "--within", "60s"]).await, 0);
    assert_eq!(
        operator.exit_code(&["order", LEDGER, "v3", "--within", "1m", "--replace"]).await,
        0
    );
    assert_eq!(operator.json(&["list"]).await[0]["target"], "v3");
}

// A page of metrics as the holder of the duties serves it.
struct Page;

impl bulrushhall_external::http::Handler for Page {
    fn handle(
        self: Arc<Self>,
        _req: Request<Incoming>,
    ) -> bulrushhall_external::BoxFuture<'static, Response<bulrushhall_external::http::Body>> {
        let answers = "bulrush_route_rollout_answers{service=\"ledger\"";
        let text = format!(
            "# TYPE bulrush_route_duties_held gauge\nbulrush_route_duties_held 1\n\
             bulrush_route_rollout_share{{service=\"ledger\"}} 0.125\n\
             {answers},version=\"current\",result=\"all\"}} 800\n\
             {answers},version=\"target\",result=\"bad\"}} 3\n\
             {answers},version=\"target\",result=\"all\"}} 90\n"
        );
        Box::pin(async move { Response::new(bulrushhall_external::http::full(text)) })
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn shows_evidence() {
    let harness = Harness::without_node().await;
    let order = json!({"service": LEDGER, "target": "v2", "duration_s": 60.0});
    harness.store.put(ROLLOUT_KEY, &order.to_string());
    let page = start_server(Arc::new(Page));
    let operator = Operator::of(&harness);
    let address = page.address.to_string();
    let shown = operator.json(&["show", LEDGER, "--metrics", &address]).await;
    assert_eq!(shown["rollout"]["state"], Value::Null);
    assert_eq!(shown["evidence"]["share"], 0.125);
    assert_eq!(shown["evidence"]["current"], json!({"all": 800, "bad": 0}));
    assert_eq!(shown["evidence"]["target"], json!({"all": 90, "bad": 3}));
    let (code, text) = operator.run(&["show", LEDGER, "--metrics", &address]).await;
    assert_eq!((code, text.contains("90 answers, 3 bad")), (0, true), "{text}");
    let closed = "127.0.0.1:9";
    assert_eq!(operator.exit_code(&["show", LEDGER, "--metrics", closed]).await, 5);
}

// Guards against an order that no node can read, or for a service that nobody serves.
#[rstest]
#[case::unknown_service(&["order", "nothing", "v2", "--within", "60s"], 7)]
#[case::empty_version(&["order", LEDGER, "", "--within", "60s"], 1)]
#[case::long_version(&["order", LEDGER, "vvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvvv", "--within", "60s"], 1)]
#[case::no_time(&["order", LEDGER, "v2"], 2)]
#[case::malformed_time(&["order", LEDGER, "v2", "--within", "soon"], 2)]
#[case::zero_time(&["order", LEDGER, "v2", "--within", "0s"], 1)]
#[case::too_long(&["order", LEDGER, "v2", "--within", "40days"], 1)]
#[case::invalid_name(&["order", "two words", "v2", "--within", "60s"], 2)]
#[case::no_command(&[], 2)]
#[tokio::test(flavor = "multi_thread")]
async fn refused_orders(#[case] args: &[&str], #[case] code: i32) {
    let harness = Harness::without_node().await;
    assert_eq!(Operator::of(&harness).exit_code(args).await, code);
    assert!(harness.store.get(ROLLOUT_KEY).is_none());
}

// Guards against an operator who is told that an order was or was not written although that is unknown, and against a
// malformed order that can't be replaced.
#[tokio::test(flavor = "multi_thread")]
async fn store_fails() {
    let harness = Harness::without_node().await;
    let operator = Operator::of(&harness);
    harness.store.put(ROLLOUT_KEY, "{}");
    assert_eq!(operator.json(&["list"]).await, json!([]));
    assert_eq!(operator.exit_code(&["order", LEDGER, "v2", "--within", "60s"]).await, 0);
    harness.store.set_fault(Fault::Down);
    assert_eq!(operator.exit_code(&["list"]).await, 5);
    assert_eq!(operator.exit_code(&["abort", LEDGER]).await, 5);
    harness.store.set_fault(Fault::LostReplies);
    assert_eq!(operator.exit_code(&["abort", LEDGER]).await, 6);
    sleep(Duration::from_millis(10)).await;
    let config = default_config(2);
    harness.store.set_fault(Fault::None);
    harness.store.put(CONFIG_KEY, &config.to_string());
    assert_eq!(operator.json(&["list"]).await, json!([]));
}
