//! A request is one trace from its caller through nodes to engines, also when it moves between nodes.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_daemon::{
    Settings,
    settings::LimitSettings,
    telemetry::{inject, provider},
};
use bulrushhall_external::{
    BoxFuture,
    http::{
        Body, Endpoint, EndpointOptions, Handler, ServerOptions, empty, read_limited, serve,
        set_trace_injector,
    },
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use opentelemetry::trace::TracerProvider;
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest, trace::v1::Span,
};
use opentelemetry_sdk::trace::SdkTracerProvider;
use prost::Message;
use serde_json::json;
use tokio::{net::TcpListener, sync::watch};
use tracing_subscriber::{layer::SubscriberExt, util::SubscriberInitExt};

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN: &str = "00f067aa0ba902b7";
const BODY_LIMIT: usize = 4 << 20;
const TIMEOUT: Duration = Duration::from_secs(10);

/// A `Collector` is a stand-in for a trace collector that stores the received spans.
#[derive(Default)]
struct Collector {
    spans: Mutex<Vec<Span>>,
}

impl Handler for Collector {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            assert_eq!(req.uri().path(), "/v1/traces");
            let body = read_limited(req.into_body(), BODY_LIMIT, TIMEOUT).await.expect("a body");
            let sent = ExportTraceServiceRequest::decode(body).expect("spans");
            let mut spans = self.spans.lock().expect("the spans");
            for resource in sent.resource_spans {
                for scope in resource.scope_spans {
                    spans.extend(scope.spans);
                }
            }
            Response::new(empty())
        })
    }
}

impl Collector {
    fn spans_of_trace(&self) -> Vec<Span> {
        let spans = self.spans.lock().expect("the spans");
        spans.iter().filter(|span| hex(&span.trace_id) == TRACE).cloned().collect()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn attribute(span: &Span, key: &str) -> Option<String> {
    let found = span.attributes.iter().find(|attribute| attribute.key == key)?;
    let value = found.value.as_ref()?.value.as_ref()?;
    Some(format!("{value:?}"))
}

fn spans_named<'a>(spans: &'a [Span], name: &str) -> Vec<&'a Span> {
    spans.iter().filter(|span| span.name == name).collect()
}

async fn start_collector() -> (Arc<Collector>, SdkTracerProvider) {
    let collector = Arc::new(Collector::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    // The collector runs until the process ends.
    std::mem::forget(stop);
    let handler: Arc<dyn Handler> = Arc::clone(&collector) as Arc<dyn Handler>;
    tokio::spawn(serve(listener, handler, ServerOptions::default(), stopped));

    let provider = provider(address, 1.0).expect("a provider");
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("test"));
    let filter = tracing_subscriber::filter::LevelFilter::INFO;
    tracing_subscriber::registry().with(filter).with(layer).try_init().expect("the only test");
    set_trace_injector(inject);
    (collector, provider)
}

async fn flush(provider: &SdkTracerProvider) {
    let provider = provider.clone();
    let flushed = tokio::task::spawn_blocking(move || provider.force_flush()).await;
    flushed.expect("a flush").expect("sent spans");
}

// A node shuts down during an answer, so the request moves to another node. If the trace context got lost,
// an operator who looks for the cause of a slow answer would see its trace end at the first node.
#[tokio::test(flavor = "multi_thread")]
async fn one_trace_across_handoff() {
    let (collector, provider) = start_collector().await;
    // The drain limit is shorter than the answer, so that the request has to move.
    let limits = LimitSettings { drain: Duration::from_secs(1).into(), ..LimitSettings::default() };
    let settings = Settings { limits, ..Settings::default() };
    let options = TestbedOptions { nodes: 3, settings, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let all_joined = async {
        while testbed.nodes.iter().any(|node| node.context().members.current().len() != 2) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, all_joined).await.expect("nodes that know each other");

    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "a survey that takes a while" }],
        "max_tokens": 300,
    });
    let req = Request::post("/v1/requests")
        .header("traceparent", format!("00-{TRACE}-{CALLER_SPAN}-01"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let entry = Endpoint::new(testbed.nodes[0].callers(), EndpointOptions::default());
    let answer = entry.send(req).await.expect("an answer");
    assert_eq!(answer.status(), 202);
    testbed.nodes[0].stop().await;

    // The answer is finished at another node.
    let finished = async {
        loop {
            let at = |node: usize| testbed.nodes[node].context().answers.unfinished();
            flush(&provider).await;
            let runs = spans_named(&collector.spans_of_trace(), "run").len();
            if 1 < runs && at(1) + at(2) == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(2 * TIMEOUT, finished).await.expect("a finished answer");
    flush(&provider).await;
    let spans = collector.spans_of_trace();

    let requests = spans_named(&spans, "request");
    assert_eq!(requests.len(), 1, "{spans:#?}");
    assert_eq!(hex(&requests[0].parent_span_id), CALLER_SPAN);
    let runs = spans_named(&spans, "run");
    let nodes: Vec<Option<String>> = runs.iter().map(|run| attribute(run, "node")).collect();
    assert_eq!(runs.len(), 2, "{nodes:?}");
    assert_ne!(nodes[0], nodes[1]);
    for run in &runs {
        assert_eq!(run.parent_span_id, requests[0].span_id);
        let attempts: Vec<&Span> = spans_named(&spans, "attempt")
            .into_iter()
            .filter(|at| at.parent_span_id == run.span_id)
            .collect();
        assert!(!attempts.is_empty(), "a run without attempts at {:?}", attribute(run, "node"));
        for attempt in attempts {
            let calls = spans_named(&spans, "call");
            let called = calls.iter().any(|call| call.parent_span_id == attempt.span_id);
            assert!(called, "an attempt without a call to an engine");
        }
    }
    for span in &spans {
        let parent = hex(&span.parent_span_id);
        let known = spans.iter().any(|other| other.span_id == span.parent_span_id);
        assert!(known || parent == CALLER_SPAN, "{} has an unknown parent", span.name);
        for attribute in &span.attributes {
            let text = format!("{attribute:?}");
            assert!(!text.contains("takes a while"), "a prompt in a span: {text}");
        }
    }
}
