//! `bulrush demo --serve`: keeps the deployment up for use by others.

use std::{
    io::{self, Write},
    sync::Arc,
    time::Duration,
};

use bulrushhall_bench::{Testbed, testbed::ControlPort};
use bulrushhall_standin::running_server::RunningServer;
use serde_json::json;

use crate::demo::{error::DemoError, options::DemoOptions};

/// Starts the deployment, prints its addresses in one line and runs until SIGINT or the time limit.
pub async fn serve(options: &DemoOptions) -> Result<(), DemoError> {
    let testbed = Arc::new(Testbed::start(options.testbed()).await?);
    let control = RunningServer::start(Arc::new(ControlPort::new(Arc::clone(&testbed)))).await?;
    print_addresses(&testbed, &control)?;

    let time_limit = options.length.unwrap_or(Duration::MAX);
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        () = tokio::time::sleep(time_limit) => {}
    }
    for node in testbed.machines.nodes() {
        node.stop().await;
    }
    Ok(())
}

fn print_addresses(testbed: &Testbed, control: &RunningServer) -> io::Result<()> {
    let nodes = testbed.machines.nodes();
    let operators: Vec<_> = nodes.iter().map(|node| node.operators()).collect();
    let ready = json!({
        "entries": testbed.entries(),
        "operators": operators,
        "key_value": testbed.kv.address(),
        "cloud": testbed.cloud.address(),
        "faults": control.address(),
    });
    let mut out = io::stdout().lock();
    writeln!(out, "ready {ready}")?;
    out.flush()
}
