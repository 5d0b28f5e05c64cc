//! VMs are bought exactly once for a service, and replaced after the cloud reclaims a zone.

use std::{sync::Arc, time::Duration};

use bulrushhall_bench::{
    CallerError, Testbed, TestbedOptions,
    testbed::{ENGINE_CLASS, MODEL, SERVICE},
};
use bulrushhall_core::Ran;
use bulrushhall_daemon::{config_chain, fleet::PLAN_KEY};
use bulrushhall_external::{
    KeyValue,
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_policy::FleetPlan;
use tokio::time::{Instant, sleep};

/// The timeout of waiting for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

async fn managed_testbed() -> (Testbed, Arc<dyn KeyValue>) {
    let options = TestbedOptions {
        nodes: 2,
        engines: 0,
        boot: Duration::from_millis(100),
        list_lag: Duration::from_millis(100),
        ..TestbedOptions::default()
    };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let key_value: Arc<dyn KeyValue> = Arc::new(HttpKeyValue::new(endpoint));
    let text = format!(
        "{}\n[engines {SERVICE}]\nleast = 3\nvm_classes = {ENGINE_CLASS}\n\n\
         [vm-class {ENGINE_CLASS}]\nreclaimable_price = 10.0/h\non_demand_price = 10.0/h\n",
        testbed.config
    );
    config_chain::apply(&*key_value, None, &text).await.expect("an applied configuration");
    (testbed, key_value)
}

async fn plan(key_value: &Arc<dyn KeyValue>) -> FleetPlan {
    let Ok(found) = key_value.get(PLAN_KEY).await else { return FleetPlan::default() };
    serde_json::from_slice(&found.value).unwrap_or_default()
}

async fn wait_for_ready(key_value: &Arc<dyn KeyValue>, count: usize) -> FleetPlan {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let plan = plan(key_value).await;
        let ready = plan.slots.values().filter(|slot| slot.state.is_ready()).count();
        if ready == count {
            return plan;
        }
        assert!(Instant::now() < deadline, "{ready} of {count} engines: {plan:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

// A service starts without engines. Exactly one VM must be bought for each slot of the plan, and the new
// engines must serve callers.
#[tokio::test(flavor = "multi_thread")]
async fn one_vm_bought_per_slot() {
    let (testbed, key_value) = managed_testbed().await;
    wait_for_ready(&key_value, 4).await;
    assert_eq!(testbed.machines.engines().len(), 4);
    // The other node discovers the new engines from the VM list a moment later; until then it refuses
    // requests as not run.
    let deadline = Instant::now() + TIMEOUT;
    let answered = loop {
        match testbed.caller(1).chat(MODEL, "urgent", "which glaze", 8).await {
            Ok(answered) => break answered,
            Err(CallerError::Refused { ran: Ran::No, .. }) if Instant::now() < deadline => {
                sleep(Duration::from_millis(100)).await;
            }
            Err(error) => panic!("{error}"),
        }
    };
    assert!(answered.whole);
}

// The cloud reclaims a zone and sells nothing there. The lost engine must be replaced in the other zones,
// so that enough engines remain if another zone is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_zone_replaced() {
    let (testbed, key_value) = managed_testbed().await;
    wait_for_ready(&key_value, 4).await;
    testbed.refuse_in(&["suva-a"]);
    testbed.reclaim_zone("suva-a", Duration::from_secs(2));
    let plan = wait_for_ready(&key_value, 5).await;
    let zones = plan.slots.values().filter(|slot| slot.state.is_ready());
    assert!(zones.map(|slot| slot.place.zone.as_str()).all(|zone| zone != "suva-a"));
}
