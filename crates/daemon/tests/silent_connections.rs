//! Connections that go silent for good are noticed and replaced, and nothing reaches a stranger.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{FencingNumber, Incarnation, ModelName, Ran, RequestId, VmName};
use bulrushhall_external::{
    CallFault, Engine, KeyValue, PlainService,
    clients::{HttpEngine, HttpKeyValue, HttpService},
    engine::{Frame, Generate},
    http::{Endpoint, EndpointOptions},
    service::ServiceCall,
};
use bulrushhall_standin::{
    engine::{EngineOptions, EngineServer},
    kv::{KvOptions, KvServer},
    link::Link,
    service::{Ledger, ServiceOptions, ServiceServer},
};
use bytes::Bytes;
use futures_util::StreamExt;
use hyper::{HeaderMap, Method};

const PROGRESS: Duration = Duration::from_millis(400);
/// How often a call is tried that has to go out on a kept connection.
const TRIES: usize = 10;

fn vm(name: &str) -> VmName {
    VmName::new(name).expect("a name")
}

fn model() -> ModelName {
    ModelName::new("motif-7b").expect("a name")
}

fn generate(sequence: u64) -> Generate {
    Generate {
        request: RequestId { origin: Incarnation(1), sequence },
        attempt: 0,
        model: model(),
        prompt: "which kiln".to_owned(),
        emitted: Vec::new(),
        max_tokens: 500,
        priority: 0,
        fence: FencingNumber(0),
    }
}

fn order(key: &str) -> ServiceCall {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", key.parse().expect("a header"));
    let (method, path) = (Method::POST, "/orders".to_owned());
    ServiceCall { method, path, headers, body: Bytes::from_static(b"{}"), fence: None }
}

fn options(vm: Option<VmName>) -> EndpointOptions {
    EndpointOptions { response_timeout: PROGRESS, vm, ..EndpointOptions::default() }
}

/// Which connection the call took that was meant for the silent one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionUsed {
    Kept,
    Another,
}

// A connection whose answer has just been read is not ready yet now and then on a busy machine, and the next
// call opens another one. What is tested has not come about then.
async fn until_kept(mut play: impl AsyncFnMut() -> ConnectionUsed) {
    for _ in 0..TRIES {
        if play().await == ConnectionUsed::Kept {
            return;
        }
    }
    panic!("no connection was kept");
}

// Something between a node and an engine loses track of their connection while an answer is being
// written. Neither end is told; a caller would wait for ever for the next word.
#[tokio::test(flavor = "multi_thread")]
async fn engine_goes_silent() {
    let server = EngineServer::start(vm("vm-1"), model(), EngineOptions::default());
    let server = server.await.expect("an engine");
    let link = Link::start(server.address()).await.expect("a link");
    let endpoint = Endpoint::new(link.address(), options(Some(vm("vm-1"))));
    let engine = HttpEngine::new(endpoint, PROGRESS);
    let mut frames = engine.generate(generate(1)).await.expect("frames");
    assert!(matches!(frames.next().await, Some(Ok(Frame::Token(_)))));
    link.blackhole_connections();
    let mut last = None;
    while let Some(frame) = frames.next().await {
        last = Some(frame);
    }
    let error = last.expect("an end").expect_err("an error");
    assert_eq!((error.fault, error.ran), (CallFault::Timeout, Ran::Unknown));
    let mut frames = engine.generate(generate(2)).await.expect("frames on a new connection");
    assert!(matches!(frames.next().await, Some(Ok(Frame::Token(_)))));
}

// The kept connection to a plain service has gone silent before an order is sent on it. The order
// may have got through, so it ends as unknown, is not sent again, and the next one works.
#[tokio::test(flavor = "multi_thread")]
async fn order_on_silent_connection() {
    until_kept(order_after_silence).await;
}

async fn order_after_silence() -> ConnectionUsed {
    let ledger = Arc::new(Ledger::default());
    let server = ServiceServer::start(vm("vm-1"), Arc::clone(&ledger), ServiceOptions::default());
    let server = server.await.expect("a service");
    let link = Link::start(server.address()).await.expect("a link");
    let endpoint = Endpoint::new(link.address(), options(Some(vm("vm-1"))));
    let service = HttpService::new(endpoint, PROGRESS);
    service.call(order("k-1")).await.expect("an answer");
    link.blackhole_connections();
    let called = service.call(order("k-2")).await;
    if 1 < link.opened() {
        return ConnectionUsed::Another;
    }
    let error = called.expect_err("no answer");
    assert_eq!((error.fault, error.ran), (CallFault::Timeout, Ran::Unknown));
    service.call(order("k-3")).await.expect("an answer on a new connection");
    let runs = ledger.counts().runs;
    assert_eq!((runs.get("k-1"), runs.get("k-2"), runs.get("k-3")), (Some(&1), None, Some(&1)));
    ConnectionUsed::Kept
}

// The connection to the key-value service has gone silent. The call ends as unknown and the next
// one works; waiting for the old connection would stop every claim.
#[tokio::test(flavor = "multi_thread")]
async fn platform_goes_silent() {
    until_kept(read_after_silence).await;
}

async fn read_after_silence() -> ConnectionUsed {
    let server = KvServer::start(KvOptions::default()).await.expect("a service");
    let link = Link::start(server.address()).await.expect("a link");
    let key_value = HttpKeyValue::new(Endpoint::new(link.address(), options(None)));
    key_value.get("a").await.expect("an answer");
    link.blackhole_connections();
    let called = key_value.get("a").await;
    if 1 < link.opened() {
        return ConnectionUsed::Another;
    }
    let error = called.expect_err("no answer");
    assert_eq!(error.fault, CallFault::Timeout);
    key_value.get("a").await.expect("an answer on a new connection");
    ConnectionUsed::Kept
}

// An engine's VM is replaced and the new VM gets its address. It must not be given the old VM's
// requests: it would write an answer that its caller is shown as another's.
#[tokio::test(flavor = "multi_thread")]
async fn reused_address() {
    let old = EngineServer::start(vm("vm-1"), model(), EngineOptions::default());
    let old = old.await.expect("an engine");
    let address = old.address();
    let engine = HttpEngine::new(Endpoint::new(address, options(Some(vm("vm-1")))), PROGRESS);
    let mut frames = engine.generate(generate(1)).await.expect("frames");
    assert!(matches!(frames.next().await, Some(Ok(Frame::Token(_)))));
    drop(frames);
    drop(old);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let new = EngineServer::start_at(address, vm("vm-2"), model(), EngineOptions::default());
    let new = new.await.expect("an engine at the old address");
    let error = engine.generate(generate(2)).await.err().expect("a refusal");
    assert_eq!((error.fault, error.ran), (CallFault::Identity, Ran::No));
    assert_eq!(new.counts().generates, 0);
}
