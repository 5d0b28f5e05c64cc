//! The run of the demo: load, two zones taken back in overlap, a planned stop, a new configuration.

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

/// The arrivals in a second.
const RATE: f64 = 20.0;
/// The notice that a reclaimed VM is given.
const NOTICE: Duration = Duration::from_secs(4);
/// The time from the first zone's notice to the second's; it is shorter than the notice.
const OVERLAP: Duration = Duration::from_millis(1_500);
/// The time from a zone's end until its VMs are replaced.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// The zones that are taken back.
const TAKEN_BACK: [&str; 2] = ["suva-a", "suva-b"];
/// The node that is stopped as planned and started anew; its zone is not taken back.
const STOPPED_NODE: usize = 2;
/// How long a leaving VM may still be given work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// How long a configuration may take to be in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(12);

/// Runs the demo and judges what callers and stand-ins saw.
pub async fn show(options: &DemoOptions) -> Result<Outcome, DemoError> {
    let testbed = Arc::new(Testbed::start(options.testbed()).await?);
    let length = options.load_length();
    let plan =
        Plan { rate: RATE, length, warm_up: Duration::ZERO, seed: options.seed, ..Plan::default() };
    let sampler = Arc::new(Sampler::new());
    let session = Session::start(plan, testbed.entries())?;

    let sampling = {
        let (sampler, testbed) = (Arc::clone(&sampler), Arc::clone(&testbed));
        tokio::spawn(async move { sampler.run(&testbed).await })
    };
    let loading = tokio::spawn(session.finish());
    disturb(&testbed, &sampler, length).await?;
    let report = loading.await.map_err(|_| DemoError::Task)??;
    sampling.abort();

    let Samples { accepted, observations, work } = sampler.finish();
    let mut violations = judge(&report.records, &testbed.ledger.counts());
    violations.extend(no_new_work(&work, LEAVING_GRACE));
    violations.extend(spreads_and_never_reverts(&observations, &accepted, CONFIG_BOUND));
    let outcome = Outcome::new(&testbed, report, violations);
    for node in testbed.machines.nodes() {
        node.kill();
    }
    Ok(outcome)
}

async fn disturb(
    testbed: &Arc<Testbed>,
    sampler: &Sampler,
    length: Duration,
) -> Result<(), DemoError> {
    sleep(length / 5).await;
    sampler.noticed(&testbed.reclaim_zone(TAKEN_BACK[0], NOTICE));
    sleep(OVERLAP).await;
    sampler.noticed(&testbed.reclaim_zone(TAKEN_BACK[1], NOTICE));

    sleep(NOTICE - OVERLAP + REPLACED_AFTER).await;
    testbed.replace_zone(TAKEN_BACK[0], 1).await?;
    sleep(OVERLAP).await;
    testbed.replace_zone(TAKEN_BACK[1], 1).await?;

    let text = format!("{}\n[team newcomers]\nshare = 1\n", testbed.config);
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let applied = config_chain::apply(&HttpKeyValue::new(endpoint), None, &text).await;
    if let Ok(applied) = applied {
        sampler.accepted(applied.revision);
    }
    testbed.nodes[STOPPED_NODE].stop().await;
    testbed.replace_node(STOPPED_NODE, 1).await?;
    Ok(())
}
