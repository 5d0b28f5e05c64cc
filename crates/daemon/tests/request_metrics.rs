//! The metrics of requests that were answered, refused or abandoned.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_daemon::meters::{Kind, Metric};
use bulrushhall_external::http::{Endpoint, EndpointOptions, read_limited};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const MAX_BODY_BYTES: usize = 4 << 20;
const TIMEOUT: Duration = Duration::from_secs(5);

async fn read_metrics(operators: SocketAddr) -> String {
    let req = Request::get("/metrics").body(Full::new(Bytes::new())).expect("a request");
    let endpoint = Endpoint::new(operators, EndpointOptions::default());
    let answer = endpoint.send(req).await.expect("an answer");
    let body = read_limited(answer.into_body(), MAX_BODY_BYTES, TIMEOUT).await.expect("a body");
    String::from_utf8(body.to_vec()).expect("text")
}

// Returns the sum of a metric's series that have all the given labels.
fn metric_sum(text: &str, name: &str, labels: &[&str]) -> f64 {
    let mut sum = 0.0;
    for line in text.lines() {
        let Some((series, number)) = line.rsplit_once(' ') else { continue };
        let Some(rest) = series.strip_prefix(name) else { continue };
        if !rest.is_empty() && !rest.starts_with('{') {
            continue;
        }
        if labels.iter().all(|label| rest.contains(label)) {
            sum += number.parse::<f64>().unwrap_or(0.0);
        }
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn answered_requests() {
    let options = TestbedOptions { nodes: 2, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    for _ in 0..3 {
        let answered = testbed.caller(0).chat(MODEL, "urgent", "which glaze", 4).await;
        assert!(answered.expect("an answer").whole);
    }
    let text = read_metrics(testbed.nodes[0].operators()).await;
    let own = ["team=\"workshop\"", "class=\"urgent\"", "node=\"entry-0\""];
    let answered = [&own[..], &["outcome=\"answered\""]].concat();
    assert_eq!(metric_sum(&text, "bulrush_requests_total", &answered), 3.0, "{text}");
    assert_eq!(metric_sum(&text, "bulrush_request_seconds_count", &own), 3.0);
    assert_eq!(metric_sum(&text, "bulrush_first_byte_seconds_count", &own), 3.0);
    assert_eq!(metric_sum(&text, "bulrush_requests_in_flight", &[]), 0.0);
    assert!(0.0 < metric_sum(&text, "bulrush_key_value_calls_total", &["purpose=\"config\""]));
    assert!(0.0 < metric_sum(&text, "bulrush_config_revision", &[]));

    // Nodes of one process do not share their metrics.
    let other = read_metrics(testbed.nodes[1].operators()).await;
    assert_eq!(
        metric_sum(&other, "bulrush_requests_total", &["outcome=\"answered\""]),
        0.0,
        "{other}"
    );
}

// A caller sends a different unknown class with each request. If such names became labels, the
// memory of the node and of the monitoring system would grow without bound.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_names_are_no_labels() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let body = json!({ "model": MODEL, "messages": [{ "role": "user", "content": "x" }] });
    for number in 0..50 {
        let class = format!("class-{number}");
        let headers = [("x-request-class", class.as_str())];
        let path = "/v1/chat/completions";
        let refused = testbed.caller(0).json(Method::POST, path, &headers, &body).await;
        assert!(refused.is_err());
    }
    let text = read_metrics(testbed.nodes[0].operators()).await;
    assert!(!text.contains("class-"), "{text}");
    let malformed = ["class=\"none\"", "outcome=\"malformed\""];
    assert_eq!(metric_sum(&text, "bulrush_requests_total", &malformed), 50.0);
}

// A caller disconnects in the middle of its answer. If the request remained counted as in flight, a
// drained node would never appear to be idle.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_request() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let node = &testbed.nodes[0];
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "x" }],
        "stream": true,
        "max_tokens": 400,
    });
    let body = body.to_string();
    let mut stream = TcpStream::connect(node.callers()).await.expect("a connection");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nx-team: workshop\r\n";
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).await.expect("a sent request");
    let mut buf = [0; 64];
    assert!(0 < stream.read(&mut buf).await.expect("the beginning of the answer"));
    drop(stream);

    let counted = async {
        loop {
            let text = read_metrics(node.operators()).await;
            if metric_sum(&text, "bulrush_requests_total", &["outcome=\"abandoned\""]) == 1.0 {
                return text;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let text = timeout(TIMEOUT, counted).await.expect("the end of the request is counted");
    assert_eq!(metric_sum(&text, "bulrush_requests_in_flight", &[]), 0.0, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_metrics_are_in_catalogue() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let answered = testbed.caller(0).chat(MODEL, "urgent", "which glaze", 4).await;
    assert!(answered.expect("an answer").whole);
    let text = read_metrics(testbed.nodes[0].operators()).await;
    let mut types = 0;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("# TYPE ") else { continue };
        let (name, kind) = rest.split_once(' ').expect("a name and its type");
        let metric = Metric::ALL.into_iter().find(|metric| metric.name() == name);
        let expected_kind = match metric.map(Metric::kind) {
            Some(Kind::Counter) => "counter",
            Some(Kind::Gauge) => "gauge",
            Some(Kind::Histogram) => "histogram",
            None => "not in the catalogue",
        };
        assert_eq!(kind, expected_kind, "{name}");
        types += 1;
    }
    assert!(8 < types, "{text}");
}
