//! The operators' commands against running nodes and a key-value service.

use std::{
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
    sync::Arc,
    time::Duration,
};

use bulrushhall_bench::{
    Testbed, TestbedOptions,
    testbed::{MODEL, NodeProcess, SERVICE},
};
use bulrushhall_coord::chain::HEAD_KEY;
use bulrushhall_external::{
    BoxFuture, KeyValue,
    clients::HttpKeyValue,
    http::{Body, Endpoint, EndpointOptions, Handler, ServerOptions, full, read_limited, serve},
    kv::{CasOutcome, Version},
};
use bulrushhall_standin::switches::Faults;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

const MAX_BODY_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

struct Operator {
    kv: SocketAddr,
    nodes: Vec<SocketAddr>,
}

impl Operator {
    fn for_testbed(testbed: &Testbed) -> Operator {
        let nodes = testbed.nodes.iter().map(|node| node.operators()).collect();
        Operator { kv: testbed.kv.address(), nodes }
    }

    fn run(&self, args: &[&str], input: &str) -> Output {
        let nodes: Vec<String> = self.nodes.iter().map(SocketAddr::to_string).collect();
        let (kv, nodes) = (self.kv.to_string(), nodes.join(","));
        let mut environment = vec![("BULRUSH_KEY_VALUE", kv.as_str())];
        if !nodes.is_empty() {
            environment.push(("BULRUSH_NODES", nodes.as_str()));
        }
        bulrush(args, input, &environment)
    }

    fn json(&self, args: &[&str], input: &str) -> Value {
        let output = self.run(&[args, &["--json"]].concat(), input);
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{output:?}"))
    }

    fn exit_code(&self, args: &[&str], input: &str) -> Option<i32> {
        self.run(args, input).status.code()
    }
}

fn bulrush(args: &[&str], input: &str, environment: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrush"));
    command.env_remove("BULRUSH_KEY_VALUE").env_remove("BULRUSH_NODES");
    command.args(args).envs(environment.iter().copied());
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the tool");
    let mut stdin = child.stdin.take().expect("its input");
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("its output")
}

async fn five_nodes() -> Testbed {
    let options = TestbedOptions { nodes: 5, ..TestbedOptions::default() };
    Testbed::start(options).await.expect("a testbed")
}

fn with_priority(config: &str, priority: u8) -> String {
    let changed = config.replace(
        "[class patient]\npriority = 5",
        &format!("[class patient]\npriority = {priority}"),
    );
    assert_ne!(changed, config, "{config}");
    changed
}

fn priority_of(status: &Value, class: &str) -> Option<u64> {
    let classes = status["status"]["classes"].as_array()?;
    let class = classes.iter().find(|known| known["name"] == class)?;
    class["priority"].as_u64()
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_reaches_all_nodes() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let before = operator.json(&["show"], "")["revision"].as_u64().expect("a revision");
    let changed = with_priority(&testbed.config, 7);

    let expected = before.to_string();
    let args = ["apply", "-", "--expect-revision", &expected];
    let applied = operator.json(&args, &changed);
    assert_eq!(applied["revision"], before + 1);
    assert_eq!(applied["in_force_at"].as_array().map(Vec::len), Some(5));

    let statuses = operator.json(&["status"], "")["nodes"].take();
    for status in statuses.as_array().expect("a list") {
        assert_eq!(status["status"]["revision"], before + 1);
        assert_eq!(priority_of(status, "patient"), Some(7));
    }
    let table = operator.run(&["status"], "");
    let table = String::from_utf8(table.stdout).expect("text");
    assert!(table.contains("patient"), "{table}");
    assert!(table.contains("serving"), "{table}");
}

// Two operators edit the same revision. Without the check of the expected revision, the second
// apply would silently undo the change of the first.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let before = operator.json(&["show"], "")["revision"].to_string();
    let args = ["apply", "-", "--expect-revision", &before];
    assert_eq!(operator.exit_code(&args, &with_priority(&testbed.config, 7)), Some(0));

    let second = operator.run(&args, &with_priority(&testbed.config, 8));
    assert_eq!(second.status.code(), Some(4));
    let message = String::from_utf8(second.stderr).expect("text");
    assert!(message.contains("next: "), "{message}");
    let shown = operator.json(&["show"], "");
    assert!(shown["text"].as_str().is_some_and(|text| text.contains("priority = 7")), "{shown}");
}

#[tokio::test(flavor = "multi_thread")]
async fn dry_run_and_diff() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let before = operator.json(&["show"], "")["revision"].clone();
    let changed = with_priority(&testbed.config, 7);

    let preview = operator.json(&["apply", "-", "--dry-run"], &changed);
    let change = json!({
        "section": "[class patient]", "key": "priority", "before": "5", "after": "7",
    });
    assert_eq!(preview["changes"], json!([change]));
    assert_eq!(preview["applied"], false);
    assert_eq!(operator.json(&["show"], "")["revision"], before);
    assert_eq!(operator.exit_code(&["diff", "-"], &changed), Some(8));
    assert_eq!(operator.exit_code(&["diff", "-"], &testbed.config), Some(0));

    assert_eq!(operator.exit_code(&["apply", "-"], &changed), Some(0));
    let history = operator.json(&["show", "--history"], "");
    assert_eq!(history["revisions"].as_array().map(Vec::len), Some(2), "{history}");
    let earlier = operator.json(&["show", "--revision", &before.to_string()], "");
    assert_eq!(earlier["text"], testbed.config.as_str());
    assert_eq!(operator.exit_code(&["show", "--revision", "99"], ""), Some(7));
}

// During an outage of the key-value service, commands must report that it is unreachable. If they
// reported success, the operator would wait for a change that never takes effect; if they reported
// an unknown outcome, the operator would not dare to retry. `status` still shows the nodes.
#[tokio::test(flavor = "multi_thread")]
async fn key_value_outage() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });

    let shown = operator.run(&["show"], "");
    assert_eq!(shown.status.code(), Some(5), "{shown:?}");
    let message = String::from_utf8(shown.stderr).expect("text");
    assert!(message.contains("next: nodes go on"), "{message}");
    let statuses = operator.json(&["status"], "")["nodes"].take();
    assert_eq!(statuses.as_array().map(Vec::len), Some(5));
    assert!(statuses[0]["status"]["revision"].as_u64().is_some_and(|revision| 0 < revision));
}

/// A `LostReplies` forwards calls to the key-value service, but responds with 504 to each write of
/// the newest revision.
struct LostReplies {
    kv: Endpoint,
}

impl Handler for LostReplies {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let (parts, body) = req.into_parts();
            let is_write = parts.method == Method::PUT && parts.uri.path().ends_with(HEAD_KEY);
            let body = read_limited(body, MAX_BODY_BYTES, BODY_TIMEOUT).await.expect("a body");
            let forwarded = self.kv.send(Request::from_parts(parts, Full::new(body))).await;
            let (mut parts, body) = forwarded.expect("an answer").into_parts();
            let body = read_limited(body, MAX_BODY_BYTES, BODY_TIMEOUT).await.expect("a body");
            if is_write {
                parts.status = StatusCode::GATEWAY_TIMEOUT;
            }
            Response::from_parts(parts, full(body))
        })
    }
}

// The key-value service accepts the change, but its replies are lost. The outcome must be reported
// as unknown: told that nothing was changed, the operator would apply it again; told that it was
// applied, the operator would not check.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome() {
    let testbed = five_nodes().await;
    let kv = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    let handler: Arc<dyn Handler> = Arc::new(LostReplies { kv });
    tokio::spawn(serve(listener, handler, ServerOptions::default(), stopped));

    let operator = Operator { kv: proxy, nodes: Vec::new() };
    let before = operator.json(&["show"], "")["revision"].as_u64().expect("a revision");
    let changed = with_priority(&testbed.config, 7);
    let output = operator.run(&["apply", "-", "--give-up-after", "2s"], &changed);
    assert_eq!(output.status.code(), Some(6), "{output:?}");
    let message = String::from_utf8(output.stderr).expect("text");
    assert!(message.contains("next: run `bulrush show` later"), "{message}");
    assert_eq!(operator.json(&["show"], "")["revision"], before + 1);
}

// The key-value service is down from the start, so the result must be "unreachable", not "unknown".
#[tokio::test(flavor = "multi_thread")]
async fn apply_during_outage() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let before = operator.json(&["show"], "")["revision"].clone();
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    let changed = with_priority(&testbed.config, 7);
    assert_eq!(operator.exit_code(&["apply", "-", "--give-up-after", "1s"], &changed), Some(5));
    testbed.kv.switches().set(Faults::default());
    assert_eq!(operator.json(&["show"], "")["revision"], before);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_node() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let drained = operator.json(&["drain", "entry-2"], "");
    assert_eq!(drained["leaving"], true);
    let statuses = operator.json(&["status"], "")["nodes"].take();
    let leaving: Vec<&Value> = statuses
        .as_array()
        .expect("a list")
        .iter()
        .filter(|status| status["status"]["leaving"] == true)
        .collect();
    assert_eq!(leaving.len(), 1);
    assert_eq!(leaving[0]["status"]["node"], "entry-2");
    assert_eq!(operator.exit_code(&["drain", "entry-9"], ""), Some(7));
}

#[tokio::test(flavor = "multi_thread")]
async fn find_request() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "a secret survey" }],
        "max_tokens": 8,
    });
    let accepted = testbed.caller(3).json(Method::POST, "/v1/requests", &[], &body).await;
    let id = accepted.expect("an acceptance")["id"].as_str().expect("an id").to_owned();

    let output = operator.run(&["requests", &id, "--json"], "");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(!text.contains("secret"), "{text}");
    let found: Value = serde_json::from_str(&text).expect("JSON");
    let holder = found.as_array().expect("a list").iter().find(|at| at["accepted_here"] == true);
    assert_eq!(holder.expect("the holder")["node"], "entry-3");
    assert_eq!(operator.exit_code(&["requests", "r-1-1"], ""), Some(7));
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_node_in_status() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let dead: &NodeProcess = &testbed.nodes[4];
    dead.kill();
    let statuses = operator.json(&["status"], "")["nodes"].take();
    assert_eq!(statuses[4]["status"], Value::Null);
    assert!(statuses[4]["error"].is_string());
    assert!(statuses[0]["status"].is_object());
}

#[tokio::test(flavor = "multi_thread")]
async fn duties_and_queues() {
    let testbed = five_nodes().await;
    let operator = Operator::for_testbed(&testbed);
    let kv = HttpKeyValue::new(Endpoint::new(testbed.kv.address(), EndpointOptions::default()));
    let holder = testbed.nodes[2].context().incarnation.to_string();
    let written = kv.put_if("duty/example/suva-a", Version(0), holder.into(), None).await;
    assert!(matches!(written, Ok(CasOutcome::Written(_))), "{written:?}");

    let status = operator.json(&["status"], "");
    let duties = status["duties"].as_array().expect("a list");
    let example = duties.iter().find(|duty| duty["duty"] == "example/suva-a");
    assert_eq!(example.expect("the duty")["node"], "entry-2");
    let queues = status["nodes"][0]["status"]["queues"].as_array().expect("a list");
    assert!(queues.iter().any(|queue| queue["service"] == SERVICE), "{queues:?}");

    // During an outage of the key-value service the nodes are still shown.
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    let status = operator.json(&["status"], "");
    assert!(status["duties_error"].is_string(), "{status}");
    assert_eq!(status["nodes"].as_array().map(Vec::len), Some(5));
}

#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["aply"], 2)]
#[case::no_key_value(&["show"], 2)]
#[case::no_nodes(&["status"], 2)]
#[case::no_file(&["check", "/nonexistent/guild.ini"], 1)]
#[case::bad_id(&["requests", "x"], 2)]
#[case::completions(&["completions", "bash"], 0)]
fn exit_codes(#[case] args: &[&str], #[case] code: i32) {
    assert_eq!(bulrush(args, "", &[]).status.code(), Some(code), "{args:?}");
}

#[test]
fn problems_as_json() {
    let output = bulrush(&["check", "-", "--json"], "[clas urgent]\n[class a]\npriorty = 1\n", &[]);
    assert_eq!(output.status.code(), Some(3));
    let error: Value = serde_json::from_slice(&output.stderr).expect("JSON");
    assert_eq!(error["problems"].as_array().map(Vec::len), Some(2), "{error}");
    assert_eq!(error["problems"][1]["line"], 3);
    assert_eq!(error["exit_code"], 3);
}

#[test]
fn exit_codes_in_operations_page() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let help = bulrush(&["--help"], "", &[]);
    let help = String::from_utf8(help.stdout).expect("text");
    let codes = help.split("Exit codes:\n").nth(1).expect("the codes");
    for line in codes.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let (code, meaning) = line.split_once("  ").expect("a code and its meaning");
        let row = format!("| {code} | {meaning} |");
        assert!(page.contains(&row), "docs/OPERATIONS.md lacks {row}");
    }
}
