//! The measurement of a cluster: its cost while nothing changes, and how fast updates spread.

use std::time::Duration;

use bulrushhall_core::Revision;
use serde::Serialize;

use crate::spread::{Cluster, SpreadOptions};

/// The time limit for an update to reach all members.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(60);

/// A `Measurement` is the figures of one cluster.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Measurement {
    /// Whether each member had all others as members before the counting started.
    pub complete: bool,
    /// The messages that a member sent per second, on average, replies excluded.
    pub messages: f64,
    /// The bytes that a member sent and received per second, on average.
    pub bytes: f64,
    /// The bytes that the busiest member sent and received per second.
    pub bytes_most: f64,
    /// The number of suspicions at the end of the counting; all are false, since no member died.
    pub suspicions: usize,
    /// The largest number of records that a member keeps, tombstones included.
    pub records: usize,
    /// The time until all members knew that one of them is leaving, in milliseconds.
    pub leaving_ms: Option<u128>,
    /// The time until all members had a revision in force that two members of each zone received
    /// from the key-value service, in milliseconds.
    pub revision_ms: Option<u128>,
    /// The time until all members had a revision in force that only one member received from the
    /// key-value service, in milliseconds.
    pub lone_revision_ms: Option<u128>,
    /// The processor time of a member's state machine and codec, as a share of one core.
    pub processor: f64,
}

/// Runs a cluster and measures it.
pub fn measure(options: SpreadOptions) -> Measurement {
    let members = options.members;
    let SpreadOptions { zones, warm_up, counted, .. } = options;
    let mut cluster = Cluster::new(options);
    cluster.run(warm_up);
    let complete = (0..members).all(|index| cluster.member_count(index) == members - 1);

    cluster.take_traffic();
    cluster.take_processor_time();
    cluster.run(counted);
    let seconds = counted.as_secs_f64();
    let count = members as f64;
    let traffic = cluster.take_traffic();
    let processor_time: Duration = cluster.take_processor_time().into_iter().sum();
    let bytes: Vec<u64> = traffic.iter().map(|traffic| traffic.sent + traffic.received).collect();
    let suspicions = (0..members).map(|index| cluster.suspected_count(index)).sum();

    let watchers: Vec<usize> =
        (0..zones).flat_map(|zone| cluster.members_of_zone(zone).into_iter().take(2)).collect();
    let revision = spread_revision(&mut cluster, Revision(1), &watchers);
    let lone_revision = spread_revision(&mut cluster, Revision(2), &[0]);
    let leaver = members - 1;
    cluster.leave(leaver);
    let leaving = cluster.run_until(MAX_SPREAD_TIME, |cluster| {
        (0..members).all(|index| cluster.knows_leaving(index, leaver))
    });
    Measurement {
        complete,
        messages: traffic.iter().map(|traffic| traffic.messages).sum::<u64>() as f64
            / count
            / seconds,
        bytes: bytes.iter().sum::<u64>() as f64 / count / seconds,
        bytes_most: bytes.iter().max().map_or(0.0, |busiest| *busiest as f64 / seconds),
        suspicions,
        records: (0..members).map(|index| cluster.record_count(index)).max().unwrap_or_default(),
        leaving_ms: leaving.map(|span| span.as_millis()),
        revision_ms: revision.map(|span| span.as_millis()),
        lone_revision_ms: lone_revision.map(|span| span.as_millis()),
        processor: processor_time.as_secs_f64() / count / seconds,
    }
}

fn spread_revision(cluster: &mut Cluster, revision: Revision, to: &[usize]) -> Option<Duration> {
    cluster.accept(revision, to);
    let members = cluster.alive();
    cluster.run_until(MAX_SPREAD_TIME, |cluster| {
        members.iter().all(|index| revision <= cluster.revision(*index))
    })
}
