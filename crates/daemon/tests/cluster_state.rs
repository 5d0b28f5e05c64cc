//! Propagation of configuration, membership and leaving VMs between nodes, also during an outage of the
//! key-value service.
#![expect(clippy::print_stdout, reason = "a test prints the calls that it counted")]

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::NodeProcess};
use bulrushhall_coord::{LeaseOptions, Purpose};
use bulrushhall_core::Revision;
use bulrushhall_daemon::{
    config_chain::{self, ApplyError},
    duty::{Duty, DutyTask},
};
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::switches::Faults;
use hyper::Method;
use serde_json::Value;

/// The timeout of waiting for a condition; long enough that a busy machine doesn't fail a test.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "waited too long until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn five_nodes() -> Testbed {
    let options = TestbedOptions { nodes: 5, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    wait_until("all know each other", || {
        testbed.nodes.iter().all(|node| node.context().members.current().len() == 4)
    })
    .await;
    testbed
}

fn client(testbed: &Testbed) -> HttpKeyValue {
    HttpKeyValue::new(Endpoint::new(testbed.kv.address(), EndpointOptions::default()))
}

fn revisions(testbed: &Testbed) -> Vec<u64> {
    testbed.nodes.iter().map(|node| node.context().in_force().revision.0).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn config_change_reaches_all() {
    let testbed = five_nodes().await;
    let kv = client(&testbed);
    let text = format!("{}\n[team furnace]\nshare = 2\n", testbed.config);
    let applied = config_chain::apply(&kv, Some(Revision(1)), &text).await.expect("accepted");
    assert_eq!(applied.revision, Revision(2));
    wait_until("all have revision 2", || revisions(&testbed).iter().all(|found| *found == 2)).await;

    let racing = config_chain::apply(&kv, Some(Revision(1)), &testbed.config).await;
    let Err(ApplyError::Refused(refusal)) = racing else { panic!("accepted") };
    assert!(refusal.to_string().contains("revision 2 is the newest"), "{refusal}");
    assert_eq!(config_chain::history(&kv).await.expect("history"), [Revision(1), Revision(2)]);
    let first = config_chain::revision(&kv, Revision(1)).await.expect("a reply");
    assert_eq!(first.expect("revision 1").text, testbed.config);
}

// A node is replaced while the key-value service is down. If it could read the configuration only from the
// service, it would refuse its callers for the whole outage.
#[tokio::test(flavor = "multi_thread")]
async fn start_during_outage() {
    let mut testbed = five_nodes().await;
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    let settings = Default::default();
    testbed.add_node(5, "suva-b", &settings).await.expect("a node");
    let late = testbed.nodes[5].clone();
    wait_until("the new node has revision 1", || late.context().in_force().revision == Revision(1))
        .await;
    let answered = testbed.caller(5).chat("motif-7b", "urgent", "which kiln", 8).await;
    assert!(answered.expect("an answer").whole);
}

// The cloud announces that it reclaims a VM. A caller that is still directed to its node loses its request,
// so every node must stop giving out the address within seconds.
#[tokio::test(flavor = "multi_thread")]
async fn notice_reaches_all() {
    let testbed = five_nodes().await;
    let vm = testbed.nodes[2].context().settings.node.vm.clone();
    testbed.cloud.reclaim(&vm, Duration::from_secs(60));
    wait_until("all know that the VM is leaving", || {
        testbed.nodes.iter().all(|node| node.context().leaving_vms.load().contains(&vm))
    })
    .await;
    assert!(testbed.nodes[2].context().is_leaving());
    wait_until("no node gives out its address", || {
        let others = testbed.nodes.iter().filter(|node| node.name().as_str() != "entry-2");
        others.into_iter().all(|node| {
            let members = node.context().members.current();
            members.iter().filter(|member| member.vm == vm).all(|member| member.leaving)
        })
    })
    .await;
    let path = "/v1/entries";
    let listed = testbed.caller(0).json(Method::GET, path, &[], &Value::Null).await;
    let listed = listed.expect("a list");
    let entries = listed["entries"].as_array().expect("entries");
    let zones: BTreeSet<&str> = entries.iter().filter_map(|entry| entry["zone"].as_str()).collect();
    assert!(2 <= zones.len(), "{listed}");
    assert!(entries.iter().all(|entry| entry["node"] != "entry-2"), "{listed}");
}

// A process crashes without notice. Its address must be removed from the list.
#[tokio::test(flavor = "multi_thread")]
async fn dead_node_removed() {
    let testbed = five_nodes().await;
    let name = testbed.nodes[1].name().clone();
    testbed.nodes[1].kill();
    wait_until("the dead node is removed", || {
        let alive = testbed.nodes.iter().filter(|node| node.is_alive());
        alive
            .into_iter()
            .all(|node| node.context().members.current().iter().all(|member| member.node != name))
    })
    .await;
}

// During an outage of the key-value service, nodes keep serving and their reads afterwards stay within
// budget.
#[tokio::test(flavor = "multi_thread")]
async fn serving_during_outage() {
    let testbed = five_nodes().await;
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    tokio::time::sleep(Duration::from_secs(2)).await;
    for at in 0..5 {
        let answered = testbed.caller(at).chat("motif-7b", "urgent", "which kiln", 8).await;
        assert!(answered.expect("an answer").whole);
    }
    let counts = testbed.kv.counts();
    let started = Instant::now();
    testbed.kv.switches().set(Faults::default());
    let text = format!("{}\n[team furnace]\nshare = 2\n", testbed.config);
    config_chain::apply(&client(&testbed), None, &text).await.expect("accepted");
    wait_until("all have revision 2", || revisions(&testbed).iter().all(|found| *found == 2)).await;
    // Each node's reads stay within its budget, so the recovered service is not overloaded.
    let after = testbed.kv.counts();
    let seconds = started.elapsed().as_secs_f64();
    let allowed =
        5.0 * (Purpose::Config.rate().burst + Purpose::Config.rate().per_second * seconds);
    let reads = after.reads - counts.reads;
    assert!((reads as f64) < allowed, "{reads} reads in {seconds} s");
}

// A node has contact neither with the key-value service nor with any other node. It can't know whether its
// configuration is still in force, so it must give no addresses to callers until it has contact again.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_node_gives_no_addresses() {
    let options = TestbedOptions { nodes: 2, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let survivor = testbed.nodes[0].clone();
    wait_until("both know each other", || survivor.context().members.current().len() == 1).await;
    testbed.nodes[1].kill();
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    wait_until("it detects that it is isolated", || survivor.context().is_isolated()).await;
    let listed = testbed.caller(0).json(Method::GET, "/v1/entries", &[], &Value::Null).await;
    assert_eq!(listed.expect("a list")["entries"], Value::Array(Vec::new()));

    testbed.kv.switches().set(Faults::default());
    wait_until("it has contact again", || !survivor.context().is_isolated()).await;
}

// The rate limits of the key-value service grow more slowly than the number of nodes. If each node polled
// it, 340 nodes would exhaust them.
#[tokio::test(flavor = "multi_thread")]
async fn few_calls() {
    let testbed = five_nodes().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (before, started) = (testbed.kv.counts(), Instant::now());
    tokio::time::sleep(Duration::from_secs(6)).await;
    let (after, seconds) = (testbed.kv.counts(), started.elapsed().as_secs_f64());
    println!("in {seconds:.1} s: before {before:?}, after {after:?}");
    assert_eq!(after.writes, before.writes);
    assert_eq!(after.reads, before.reads);
    // Each of the five nodes runs consecutive watches of 3 s; one more at either end of the interval.
    let watches = (after.watches - before.watches) as f64;
    assert!(watches <= 5.0 * (seconds / 3.0 + 2.0), "{watches} watches in {seconds} s");
}

// Guards against a new holder that acts while an order of the former one may still arrive.
#[tokio::test(flavor = "multi_thread")]
async fn duty_waits() {
    let testbed = five_nodes().await;
    let options = LeaseOptions {
        ttl: Duration::from_millis(900),
        margin: Duration::from_millis(200),
        renew_interval: Duration::from_millis(200),
        max_delivery_time: Duration::from_secs(3),
    };
    let started = Instant::now();
    let start = |node: &Arc<NodeProcess>| Duty::start(node.context(), "probe", None, options);
    let tasks: Vec<DutyTask> = testbed.nodes.iter().map(start).collect();
    wait_until("one node may act", || tasks.iter().any(|task| task.duty().hold().is_some())).await;
    assert!(options.max_delivery_time <= started.elapsed(), "{:?}", started.elapsed());
}

// The holder of a duty crashes. Another node must take the duty over with a higher fencing number, and two
// nodes must never hold it at once.
#[tokio::test(flavor = "multi_thread")]
async fn duty_failover() {
    let testbed = five_nodes().await;
    let options = LeaseOptions {
        ttl: Duration::from_millis(1_500),
        margin: Duration::from_millis(300),
        renew_interval: Duration::from_millis(400),
        max_delivery_time: Duration::from_millis(100),
    };
    let tasks: Vec<DutyTask> = testbed
        .nodes
        .iter()
        .map(|node| Duty::start(node.context(), "probe", None, options))
        .collect();
    let holders = || -> Vec<usize> {
        (0..tasks.len()).filter(|at| tasks[*at].duty().hold().is_some()).collect()
    };
    wait_until("one node holds the duty", || holders().len() == 1).await;
    let first = holders()[0];
    let fence = tasks[first].duty().hold().expect("held").fence;
    testbed.nodes[first].kill();
    let mut tasks: Vec<Option<DutyTask>> = tasks.into_iter().map(Some).collect();
    drop(tasks[first].take());
    let next = || tasks.iter().flatten().find_map(|task| task.duty().hold());
    wait_until("another node holds it", || next().is_some()).await;
    assert!(fence < next().expect("held").fence);
}
