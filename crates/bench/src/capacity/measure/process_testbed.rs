//! A testbed with simulated servers in this process and nodes in child processes.

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    Caller, Testbed, TestbedOptions,
    capacity::{NodeChild, measure::MeasureResult},
    testbed::MODEL,
};

/// How long to wait until the nodes have the configuration in force.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The zones that nodes are distributed over.
const ZONES: [&str; 4] = ["suva-a", "suva-b", "nausori", "navua"];

/// A `ProcessTestbed` is a set of simulated servers with nodes in child processes.
pub struct ProcessTestbed {
    /// The simulated servers.
    pub testbed: Testbed,
    /// The nodes.
    pub nodes: Vec<NodeChild>,
}

impl ProcessTestbed {
    /// Starts simulated servers and nodes and waits until all nodes serve the model.
    pub async fn start(nodes: usize, options: TestbedOptions) -> MeasureResult<ProcessTestbed> {
        let testbed = Testbed::start(TestbedOptions { nodes: 0, ..options }).await?;
        let mut cluster = ProcessTestbed { testbed, nodes: Vec::new() };
        for at in 0..nodes {
            let seeds: Vec<_> = cluster.nodes.iter().map(NodeChild::peers).collect();
            let zone = ZONES[at % ZONES.len()];
            cluster.nodes.push(NodeChild::start(cluster.testbed.kv.address(), at, zone, &seeds)?);
        }
        for node in &cluster.nodes {
            wait_until_ready(node).await?;
        }
        Ok(cluster)
    }

    /// Returns a caller that sends to the first node.
    pub fn caller(&self) -> Caller {
        Caller::new(self.nodes[0].callers(), "workshop")
    }
}

async fn wait_until_ready(node: &NodeChild) -> MeasureResult<()> {
    let caller = Caller::new(node.callers(), "workshop");
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let models = caller.json(Method::GET, "/v1/models", &[], &Value::Null).await;
        if models.is_ok_and(|models| models["data"][0]["id"] == MODEL) {
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err("a node did not serve the model in time".into())
}
