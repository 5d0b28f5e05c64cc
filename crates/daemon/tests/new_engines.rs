//! Engines that are bought, and engines whose VMs leave, are noticed while nodes run.

use std::{sync::Arc, time::Duration};

use bulrushhall_bench::{
    Testbed, TestbedOptions,
    testbed::{MODEL, Machine},
};
use bulrushhall_core::{ModelName, VmName, ZoneName};
use bulrushhall_standin::engine::{EngineOptions, EngineServer};
use tokio::time::{Instant, sleep};

/// The longest wait for something that comes by itself.
const PATIENCE: Duration = Duration::from_secs(20);

async fn testbed() -> Testbed {
    let options = TestbedOptions { nodes: 3, engines: 2, ..TestbedOptions::default() };
    Testbed::start(options).await.expect("a testbed")
}

async fn add_engine(testbed: &Testbed, name: &str) -> Arc<EngineServer> {
    let vm = VmName::new(name).expect("a name");
    let model = ModelName::new(MODEL).expect("a name");
    let engine = EngineServer::start(vm.clone(), model, EngineOptions::default());
    let engine = Arc::new(engine.await.expect("an engine"));
    let zone = ZoneName::new("navua").expect("a name");
    testbed.machines.run(vm, zone, Machine::Engine(Arc::clone(&engine)));
    engine
}

#[tokio::test(flavor = "multi_thread")]
async fn bought_engine() {
    let testbed = testbed().await;
    let engine = add_engine(&testbed, "vm-new").await;
    let until = Instant::now() + PATIENCE;
    let mut number = 0;
    while engine.counts().generates == 0 {
        assert!(Instant::now() < until, "the new engine gets no work");
        let caller = testbed.caller(number % 3);
        caller.chat(MODEL, "urgent", &format!("question {number}"), 4).await.expect("an answer");
        number += 1;
    }
}

// The cloud announces that it takes back an engine's VM. New work sent there from now on would
// have to be computed again elsewhere; after a few seconds no node may send any.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine() {
    let testbed = testbed().await;
    testbed.cloud.reclaim(testbed.engines[0].vm(), Duration::from_secs(60));
    let until = Instant::now() + PATIENCE;
    let leaving = |at: usize| {
        let vms = testbed.nodes[at].context().leaving_vms.load();
        vms.contains(testbed.engines[0].vm())
    };
    while !(0..3).all(leaving) {
        assert!(Instant::now() < until, "a node has not heard of the notice");
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;

    let before = testbed.engines[0].counts().generates;
    for number in 0..30 {
        let caller = testbed.caller(number % 3);
        caller.chat(MODEL, "urgent", &format!("later {number}"), 4).await.expect("an answer");
    }
    assert_eq!(testbed.engines[0].counts().generates, before);
}
