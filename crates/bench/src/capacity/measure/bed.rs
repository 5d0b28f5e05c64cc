//! Stand-ins in this process and nodes in processes of their own.

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    Caller, Testbed, TestbedOptions,
    capacity::{NodeChild, measure::Measured},
    testbed::MODEL,
};

/// The longest time that nodes may take to learn the configuration.
const READY: Duration = Duration::from_secs(10);
/// The zones that nodes are spread over.
const ZONES: [&str; 4] = ["suva-a", "suva-b", "nausori", "navua"];

/// A `Bed` is a set of stand-ins with nodes in processes of their own.
pub struct Bed {
    /// The stand-ins.
    pub testbed: Testbed,
    /// The nodes.
    pub nodes: Vec<NodeChild>,
}

impl Bed {
    /// Starts stand-ins and nodes and waits until all nodes serve.
    pub async fn start(nodes: usize, options: TestbedOptions) -> Measured<Bed> {
        let testbed = Testbed::start(TestbedOptions { nodes: 0, ..options }).await?;
        let mut bed = Bed { testbed, nodes: Vec::new() };
        for at in 0..nodes {
            let seeds: Vec<_> = bed.nodes.iter().map(NodeChild::peers).collect();
            let zone = ZONES[at % ZONES.len()];
            bed.nodes.push(NodeChild::start(bed.testbed.kv.address(), at, zone, &seeds)?);
        }
        for node in &bed.nodes {
            wait(node).await?;
        }
        Ok(bed)
    }

    /// Returns a caller of the first node.
    pub fn caller(&self) -> Caller {
        Caller::new(self.nodes[0].callers(), "workshop")
    }
}

async fn wait(node: &NodeChild) -> Measured<()> {
    let caller = Caller::new(node.callers(), "workshop");
    let until = Instant::now() + READY;
    while Instant::now() < until {
        let models = caller.json(Method::GET, "/v1/models", &[], &Value::Null).await;
        if models.is_ok_and(|models| models["data"][0]["id"] == MODEL) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err("a node did not learn the configuration".into())
}
