//! The cost of calls that may run at most once for the key-value service.

use hyper::Method;
use serde_json::json;

use crate::{
    TestbedOptions,
    capacity::{
        Point, Slope,
        measure::{MeasureResult, NamedSlope, process_testbed::ProcessTestbed},
    },
    testbed::LEDGER,
};

/// The numbers of calls.
const CALLS: [usize; 3] = [50, 100, 200];

/// Measures the writes to the key-value service against the number of calls, each of which has its
/// own idempotency key.
pub async fn measure() -> MeasureResult<Vec<NamedSlope>> {
    let cluster = ProcessTestbed::start(1, TestbedOptions::default()).await?;
    let caller = cluster.caller();
    let path = format!("/v1/services/{LEDGER}/orders");
    let (mut writes, mut next) = (Vec::new(), 0);
    for calls in CALLS {
        let before = cluster.testbed.kv.counts();
        for _ in 0..calls {
            next += 1;
            let key = format!("capacity-{next}");
            let headers = [("idempotency-key", key.as_str())];
            caller.json(Method::POST, &path, &headers, &json!({})).await?;
        }
        let after = cluster.testbed.kv.counts();
        let value = (after.writes - before.writes) as f64;
        writes.push(Point { size: calls as f64, value });
    }
    Ok(vec![(
        "order_writes",
        Slope::through("writes to the key-value service", "calls one after the other", writes),
    )])
}
