//! The demo under load: overlapping reclaims of two zones, a new configuration, a planned stop.

use std::{sync::Arc, time::Duration};

use bulrushhall_bench::{
    Testbed,
    check::{judge, no_new_work, spreads_and_never_reverts},
    load::{Plan, Session},
};
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use tokio::time::sleep;

use crate::demo::{
    error::DemoError,
    options::DemoOptions,
    outcome::Outcome,
    sampler::{Sampler, Samples},
};

/// The arrivals per second.
const RATE: f64 = 20.0;
/// The time from the notice of a reclaim to the end of the VM.
const NOTICE_PERIOD: Duration = Duration::from_secs(4);
/// The time from the first zone's notice to the second's; shorter than the notice period, so that
/// the reclaims overlap.
const SECOND_NOTICE_AFTER: Duration = Duration::from_millis(1_500);
/// The time from the end of a zone's VMs until they are replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// The zones that are reclaimed.
const RECLAIMED_ZONES: [&str; 2] = ["suva-a", "suva-b"];
/// The index of the node that is stopped gracefully and replaced; its zone is not reclaimed.
const STOPPED_NODE: usize = 2;
/// The maximum time after a notice for which the VM may still be given work.
const MAX_WORK_AFTER_NOTICE: Duration = Duration::from_secs(3);
/// The maximum time from the acceptance of a configuration until it is in force at every node.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(12);

/// Runs load with faults and checks the promises against the records of callers and stand-ins.
pub async fn run_with_faults(options: &DemoOptions) -> Result<Outcome, DemoError> {
    let testbed = Arc::new(Testbed::start(options.testbed()).await?);
    let length = options.load_length();
    let plan =
        Plan { rate: RATE, length, warm_up: Duration::ZERO, seed: options.seed, ..Plan::default() };
    let sampler = Arc::new(Sampler::new());
    let session = Session::start(plan, testbed.entries())?;

    let sampler_task = {
        let (sampler, testbed) = (Arc::clone(&sampler), Arc::clone(&testbed));
        tokio::spawn(async move { sampler.run(&testbed).await })
    };
    let load_task = tokio::spawn(session.finish());
    inject_faults(&testbed, &sampler, length).await?;
    let report = load_task.await.map_err(|_| DemoError::Task)??;
    sampler_task.abort();

    let Samples { accepted, observations, work } = sampler.finish();
    let mut violations = judge(&report.records, &testbed.ledger.counts());
    violations.extend(no_new_work(&work, MAX_WORK_AFTER_NOTICE));
    violations.extend(spreads_and_never_reverts(&observations, &accepted, MAX_ROLLOUT_TIME));
    let outcome = Outcome::new(&testbed, report, violations);
    for node in testbed.machines.nodes() {
        node.kill();
    }
    Ok(outcome)
}

async fn inject_faults(
    testbed: &Arc<Testbed>,
    sampler: &Sampler,
    length: Duration,
) -> Result<(), DemoError> {
    sleep(length / 5).await;
    sampler.record_notices(&testbed.reclaim_zone(RECLAIMED_ZONES[0], NOTICE_PERIOD));
    sleep(SECOND_NOTICE_AFTER).await;
    sampler.record_notices(&testbed.reclaim_zone(RECLAIMED_ZONES[1], NOTICE_PERIOD));

    sleep(NOTICE_PERIOD - SECOND_NOTICE_AFTER + REPLACEMENT_DELAY).await;
    testbed.replace_zone(RECLAIMED_ZONES[0], 1).await?;
    sleep(SECOND_NOTICE_AFTER).await;
    testbed.replace_zone(RECLAIMED_ZONES[1], 1).await?;

    let text = format!("{}\n[team newcomers]\nshare = 1\n", testbed.config);
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let applied = config_chain::apply(&HttpKeyValue::new(endpoint), None, &text).await;
    if let Ok(applied) = applied {
        sampler.record_accepted(applied.revision);
    }
    testbed.nodes[STOPPED_NODE].stop().await;
    testbed.replace_node(STOPPED_NODE, 1).await?;
    Ok(())
}
