//! Prints the cost of orders for the key-value service and their callers, for three ways of
//! claiming them.

use std::{
    error::Error,
    io::{self, Write},
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::LEDGER};
use bulrushhall_external::{
    KeyValue,
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
    kv::Version,
};
use bulrushhall_standin::switches::Faults;
use hyper::Method;
use serde_json::json;
use tokio::task::JoinSet;

/// The number of orders for each way.
const ORDERS: usize = 200;
/// The number of concurrent orders.
const CONCURRENCY: usize = 20;
/// The number of nodes.
const NODES: usize = 5;
/// The minimum time of a call to the key-value service, in milliseconds.
const KV_MILLIS: u64 = 3;

/// A `Way` is the way in which an order is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// With a ticket, by the node that issued it.
    Ticket,
    /// With an idempotency key only, in the key-value service.
    OwnKey,
    /// With a ticket, after a separate record for the order in the key-value service.
    Plain,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut out = io::stdout();
    writeln!(out, "way      orders  reads  writes  p50 ms  p95 ms  answered in an outage")?;
    for way in [Way::Ticket, Way::OwnKey, Way::Plain] {
        let options = TestbedOptions { nodes: NODES, ..TestbedOptions::default() };
        let testbed = Arc::new(Testbed::start(options).await?);
        tokio::time::sleep(Duration::from_secs(1)).await;
        testbed.kv.switches().set(Faults { slow_ms: KV_MILLIS, ..Faults::default() });
        let before = testbed.kv.counts();
        let mut times = run(&testbed, way, "up").await;
        let after = testbed.kv.counts();
        testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
        let answered = run(&testbed, way, "down").await.len();
        times.sort();
        let at = |share: usize| times.get(times.len() * share / 100).copied().unwrap_or_default();
        writeln!(
            out,
            "{:<8} {ORDERS:>6}  {:>5}  {:>6}  {:>6.1}  {:>6.1}  {answered:>6}",
            format!("{way:?}"),
            after.reads - before.reads,
            after.writes - before.writes,
            at(50).as_secs_f64() * 1e3,
            at(95).as_secs_f64() * 1e3,
        )?;
    }
    Ok(())
}

async fn run(testbed: &Arc<Testbed>, way: Way, round: &'static str) -> Vec<Duration> {
    let mut times = Vec::new();
    for start in (0..ORDERS).step_by(CONCURRENCY) {
        let mut orders = JoinSet::new();
        for number in start..start + CONCURRENCY {
            let testbed = Arc::clone(testbed);
            orders.spawn(
                async move { send_order(&testbed, way, &format!("{round}-{number}")).await },
            );
        }
        times.extend(orders.join_all().await.into_iter().flatten());
    }
    times
}

async fn send_order(testbed: &Testbed, way: Way, key: &str) -> Option<Duration> {
    let node = key.len() + usize::from(key.as_bytes()[key.len() - 1]);
    let node = &testbed.nodes[node % NODES];
    let caller = bulrushhall_bench::Caller::new(node.callers(), "workshop");
    let ticket = format!("t-{}", node.context().incarnation);
    let mut headers = vec![("idempotency-key", key)];
    if way != Way::OwnKey {
        headers.push(("x-ticket", ticket.as_str()));
    }
    let started = Instant::now();
    if way == Way::Plain {
        let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
        let key_value = HttpKeyValue::new(endpoint);
        let record = format!("plain/{key}");
        key_value.put_if(&record, Version(0), "1".into(), None).await.ok()?;
    }
    let path = format!("/v1/services/{LEDGER}/orders");
    let order = json!({ "pigment": "cobalt" });
    caller.json(Method::POST, &path, &headers, &order).await.ok()?;
    Some(started.elapsed())
}
