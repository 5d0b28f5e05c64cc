//! Connections that have gone silent are detected and replaced, and requests never reach another
//! VM.

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

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of attempts to get a call sent on a kept connection.
const MAX_ATTEMPTS: usize = 10;

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
    EndpointOptions { response_timeout: RESPONSE_TIMEOUT, vm, ..EndpointOptions::default() }
}

/// The connection on which a call was sent; the kept one has gone silent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionUsed {
    Kept,
    Another,
}

// On a busy machine a connection is sometimes not ready for reuse right after its response has been
// read, and the next call opens another one. The scenario then has to be repeated.
async fn retry_until_kept(mut scenario: impl AsyncFnMut() -> ConnectionUsed) {
    for _ in 0..MAX_ATTEMPTS {
        if scenario().await == ConnectionUsed::Kept {
            return;
        }
    }
    panic!("no connection was kept");
}

// A middlebox drops the state of the connection to an engine while an answer is being generated,
// and neither end is notified. Without a timeout the caller would wait forever for the next token.
#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_connection() {
    let server = EngineServer::start(vm("vm-1"), model(), EngineOptions::default());
    let server = server.await.expect("an engine");
    let link = Link::start(server.address()).await.expect("a link");
    let endpoint = Endpoint::new(link.address(), options(Some(vm("vm-1"))));
    let engine = HttpEngine::new(endpoint, RESPONSE_TIMEOUT);
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
// may have arrived, so it must end as unknown and not be sent again; the next one must succeed.
#[tokio::test(flavor = "multi_thread")]
async fn silent_service_connection() {
    retry_until_kept(call_service_after_silence).await;
}

async fn call_service_after_silence() -> ConnectionUsed {
    let ledger = Arc::new(Ledger::default());
    let server = ServiceServer::start(vm("vm-1"), Arc::clone(&ledger), ServiceOptions::default());
    let server = server.await.expect("a service");
    let link = Link::start(server.address()).await.expect("a link");
    let endpoint = Endpoint::new(link.address(), options(Some(vm("vm-1"))));
    let service = HttpService::new(endpoint, RESPONSE_TIMEOUT);
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

// The connection to the key-value service has gone silent. The call must time out and the next one
// succeed; waiting for the old connection would block all claims.
#[tokio::test(flavor = "multi_thread")]
async fn silent_key_value_connection() {
    retry_until_kept(call_key_value_after_silence).await;
}

async fn call_key_value_after_silence() -> ConnectionUsed {
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

// The VM of an engine is replaced by one with the same address. The new VM must refuse requests for
// the old one, since a caller would receive the answer of the wrong engine.
#[tokio::test(flavor = "multi_thread")]
async fn address_reused_by_other_vm() {
    let old = EngineServer::start(vm("vm-1"), model(), EngineOptions::default());
    let old = old.await.expect("an engine");
    let address = old.address();
    let engine =
        HttpEngine::new(Endpoint::new(address, options(Some(vm("vm-1")))), RESPONSE_TIMEOUT);
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
