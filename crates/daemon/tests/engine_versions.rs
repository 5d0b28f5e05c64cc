//! Answers that go on at other engines, or nodes, while engines of several software versions serve.

use std::{sync::Arc, time::Duration};

use bulrushhall_bench::{
    Caller, Testbed, TestbedOptions,
    testbed::{MODEL, Machine},
};
use bulrushhall_core::{ModelName, VmName, ZoneName};
use bulrushhall_standin::engine::{EngineOptions, EngineServer, expected_answer};
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(20);
const TOKENS: u32 = 150;

/// Nodes with engines of versions that a test adds.
struct Versions {
    testbed: Testbed,
    engines: Vec<Arc<EngineServer>>,
}

impl Versions {
    async fn start(nodes: usize) -> Versions {
        let options = TestbedOptions {
            nodes,
            engines: 0,
            list_lag: Duration::from_millis(50),
            ..TestbedOptions::default()
        };
        let testbed = Testbed::start(options).await.expect("a testbed");
        let versions = Versions { testbed, engines: Vec::new() };
        versions
            .wait(|testbed| {
                testbed.nodes.iter().all(|it| it.context().members.current().len() + 1 == nodes)
            })
            .await;
        versions
    }

    async fn add(&mut self, version: &str, count: usize) {
        for _ in 0..count {
            let vm = VmName::new(format!("vm-{}", self.engines.len())).expect("a name");
            let model = ModelName::new(MODEL).expect("a name");
            let options = EngineOptions { version: version.to_owned(), ..EngineOptions::default() };
            let engine = EngineServer::start(vm.clone(), model, options).await;
            let engine = Arc::new(engine.expect("an engine"));
            let zone = ZoneName::new("navua").expect("a name");
            self.testbed.machines.run(vm, zone, Machine::Engine(Arc::clone(&engine)));
            self.engines.push(engine);
        }
        let known = self.engines.len();
        let service = bulrushhall_core::ServiceName::new(bulrushhall_bench::testbed::SERVICE);
        let service = service.expect("a name");
        self.wait(|testbed| {
            testbed.nodes.iter().all(|it| it.context().backends.of(&service).len() == known)
        })
        .await;
    }

    async fn wait(&self, condition: impl Fn(&Testbed) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !condition(&self.testbed) {
            assert!(Instant::now() < deadline, "the state was not reached in time");
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn generates_of(&self, version: &str) -> u64 {
        let of_version = self.engines.iter().filter(|engine| engine.version() == version);
        of_version.map(|engine| engine.counts().generates).sum()
    }

    /// Kills the engines that run something, or all of a version.
    fn kill(&self, version: &str, only_busy: bool) {
        for engine in &self.engines {
            let is_chosen = !only_busy || 0 < engine.counts().generates;
            if engine.version() == version && is_chosen {
                self.testbed.machines.kill(engine.vm());
            }
        }
    }
}

async fn submit(caller: &Caller, prompt: &str) -> String {
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": TOKENS,
    });
    let answer = caller.json(Method::POST, "/v1/requests", &[], &body).await.expect("an id");
    answer["id"].as_str().expect("an id").to_owned()
}

async fn wait_for(caller: &Caller, id: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let path = format!("/v1/requests/{id}");
        let response = caller.json(Method::GET, &path, &[], &Value::Null).await;
        if let Ok(response) = response
            && condition(&response)
        {
            return response;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the state was not reached in time");
}

fn is_begun(response: &Value) -> bool {
    10 < response["tokens"].as_u64().unwrap_or(0)
}

fn is_finished(response: &Value) -> bool {
    response["status"] == "finished"
}

fn answer_text(response: &Value) -> &str {
    response["completion"]["choices"][0]["message"]["content"].as_str().expect("a text")
}

// Guards against an answer that an engine of another version continues when the one that began it dies.
#[tokio::test(flavor = "multi_thread")]
async fn engine_dies() {
    let mut versions = Versions::start(1).await;
    versions.add("v1", 2).await;
    let caller = versions.testbed.caller(0);
    let id = submit(&caller, "a survey").await;
    wait_for(&caller, &id, is_begun).await;
    versions.add("v2", 4).await;
    versions.kill("v1", true);
    let response = wait_for(&caller, &id, is_finished).await;
    assert_eq!(answer_text(&response), expected_answer("user: a survey\n", TOKENS));
    assert_eq!(versions.generates_of("v2"), 0);
}

// Guards against a node that takes an answer over and continues it at another version.
#[tokio::test(flavor = "multi_thread")]
async fn node_and_engine_die() {
    let mut versions = Versions::start(3).await;
    versions.add("v1", 2).await;
    let id = submit(&versions.testbed.caller(0), "a survey").await;
    wait_for(&versions.testbed.caller(0), &id, is_begun).await;
    versions.add("v2", 4).await;
    versions.testbed.nodes[0].kill();
    let response = wait_for(&versions.testbed.caller(1), &id, is_finished).await;
    assert_eq!(answer_text(&response), expected_answer("user: a survey\n", TOKENS));
    assert_eq!(versions.generates_of("v2"), 0);
}

// Guards against an answer that waits until its deadline, or is joined, when its version has no engine left.
#[tokio::test(flavor = "multi_thread")]
async fn version_dies() {
    let mut versions = Versions::start(1).await;
    versions.add("v1", 1).await;
    let caller = versions.testbed.caller(0);
    let id = submit(&caller, "a survey").await;
    wait_for(&caller, &id, is_begun).await;
    versions.add("v2", 2).await;
    versions.kill("v1", false);
    let began = Instant::now();
    let response = wait_for(&caller, &id, |it| it["status"] == "failed").await;
    assert_eq!(response["error"]["code"], "backend_failed");
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_eq!(versions.generates_of("v2"), 0);
}

// Guards against answers of a single version that fail because there are no engines for a while.
#[tokio::test(flavor = "multi_thread")]
async fn engines_are_replaced() {
    let mut versions = Versions::start(1).await;
    versions.add("v1", 1).await;
    let caller = versions.testbed.caller(0);
    let id = submit(&caller, "a survey").await;
    wait_for(&caller, &id, is_begun).await;
    versions.kill("v1", false);
    versions.engines.clear();
    sleep(Duration::from_millis(500)).await;
    versions.add("v1", 1).await;
    let response = wait_for(&caller, &id, is_finished).await;
    assert_eq!(answer_text(&response), expected_answer("user: a survey\n", TOKENS));
}
