//! What a call that may run at most once costs the key-value service.

use hyper::Method;
use serde_json::json;

use crate::{
    TestbedOptions,
    capacity::{
        Point, Slope,
        measure::{Measured, Named, bed::Bed},
    },
    testbed::LEDGER,
};

/// The numbers of calls.
const CALLS: [usize; 3] = [50, 100, 200];

/// Measures writes to the key-value service against calls with a key of their own.
pub async fn measure() -> Measured<Vec<Named>> {
    let bed = Bed::start(1, TestbedOptions::default()).await?;
    let caller = bed.caller();
    let path = format!("/v1/services/{LEDGER}/orders");
    let (mut writes, mut next) = (Vec::new(), 0);
    for calls in CALLS {
        let before = bed.testbed.kv.counts();
        for _ in 0..calls {
            next += 1;
            let key = format!("capacity-{next}");
            let headers = [("idempotency-key", key.as_str())];
            caller.json(Method::POST, &path, &headers, &json!({})).await?;
        }
        let after = bed.testbed.kv.counts();
        let value = (after.writes - before.writes) as f64;
        writes.push(Point { size: calls as f64, value });
    }
    Ok(vec![(
        "order_writes",
        Slope::through("writes to the key-value service", "calls one after the other", writes),
    )])
}
