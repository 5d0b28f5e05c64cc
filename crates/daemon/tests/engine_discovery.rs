//! Running nodes discover new engines and stop using engines on leaving VMs.

use std::{sync::Arc, time::Duration};

use bulrushhall_bench::{
    Testbed, TestbedOptions,
    testbed::{MODEL, Machine},
};
use bulrushhall_core::{ModelName, VmName, ZoneName};
use bulrushhall_standin::engine::{EngineOptions, EngineServer};
use tokio::time::{Instant, sleep};

/// The timeout of waiting for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);

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
async fn new_engine_gets_work() {
    let testbed = testbed().await;
    let engine = add_engine(&testbed, "vm-new").await;
    let deadline = Instant::now() + TIMEOUT;
    let mut number = 0;
    while engine.counts().generates == 0 {
        assert!(Instant::now() < deadline, "the new engine gets no work");
        let caller = testbed.caller(number % 3);
        caller.chat(MODEL, "urgent", &format!("question {number}"), 4).await.expect("an answer");
        number += 1;
    }
}

// The cloud announces that it reclaims an engine's VM. New work sent there would have to be recomputed
// elsewhere, so that after a short time no node may send any.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_work() {
    let testbed = testbed().await;
    testbed.cloud.reclaim(testbed.engines[0].vm(), Duration::from_secs(60));
    let deadline = Instant::now() + TIMEOUT;
    let leaving = |at: usize| {
        let vms = testbed.nodes[at].context().leaving_vms.load();
        vms.contains(testbed.engines[0].vm())
    };
    while !(0..3).all(leaving) {
        assert!(Instant::now() < deadline, "a node has not received the notice");
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
