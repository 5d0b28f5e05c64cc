//! One measurement of a cluster: cost while nothing changes, and how fast news spreads.

use std::time::Duration;

use bulrushhall_core::Revision;
use serde::Serialize;

use crate::spread::{Cluster, SpreadOptions};

/// The longest time that news is waited for.
const NEWS: Duration = Duration::from_secs(60);

/// A `Measured` is what one measurement found.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Measured {
    /// Whether all members knew all others before the count began.
    pub complete: bool,
    /// The messages of a member and second, replies left out, on average.
    pub messages: f64,
    /// The bytes that a member sent and received in a second, on average.
    pub bytes: f64,
    /// The bytes that the busiest member sent and received in a second.
    pub bytes_most: f64,
    /// The suspicions held at the end of the count, all unfounded.
    pub suspicions: usize,
    /// The records that a member holds.
    pub records: usize,
    /// The time until all members knew that one is leaving, in milliseconds.
    pub leaving_ms: Option<u128>,
    /// The time until all had a revision that two members a zone had learnt, in milliseconds.
    pub revision_ms: Option<u128>,
    /// The time until all had a revision that one member had learnt, in milliseconds.
    pub lone_revision_ms: Option<u128>,
    /// The processor time of a member's machine and codec, as a share of one core.
    pub processor: f64,
}

/// Measures one cluster.
pub fn measure(options: SpreadOptions) -> Measured {
    let members = options.members;
    let SpreadOptions { zones, warm, counted, .. } = options;
    let mut cluster = Cluster::new(options);
    cluster.run(warm);
    let complete = (0..members).all(|at| cluster.believed(at) == members - 1);

    cluster.take_traffic();
    cluster.take_busy();
    cluster.run(counted);
    let seconds = counted.as_secs_f64();
    let count = members as f64;
    let traffic = cluster.take_traffic();
    let busy: Duration = cluster.take_busy().into_iter().sum();
    let bytes: Vec<u64> = traffic.iter().map(|traffic| traffic.sent + traffic.received).collect();
    let suspicions = (0..members).map(|at| cluster.suspects(at)).sum();

    let watchers: Vec<usize> =
        (0..zones).flat_map(|zone| cluster.of_zone(zone).into_iter().take(2)).collect();
    let revision = spread_revision(&mut cluster, Revision(1), &watchers);
    let lone_revision = spread_revision(&mut cluster, Revision(2), &[0]);
    let leaver = members - 1;
    cluster.leave(leaver);
    let leaving = cluster
        .run_while_not(NEWS, |cluster| (0..members).all(|at| cluster.knows_leaving(at, leaver)));
    Measured {
        complete,
        messages: traffic.iter().map(|traffic| traffic.messages).sum::<u64>() as f64
            / count
            / seconds,
        bytes: bytes.iter().sum::<u64>() as f64 / count / seconds,
        bytes_most: bytes.iter().max().map_or(0.0, |most| *most as f64 / seconds),
        suspicions,
        records: (0..members).map(|at| cluster.held(at)).max().unwrap_or_default(),
        leaving_ms: leaving.map(|span| span.as_millis()),
        revision_ms: revision.map(|span| span.as_millis()),
        lone_revision_ms: lone_revision.map(|span| span.as_millis()),
        processor: busy.as_secs_f64() / count / seconds,
    }
}

fn spread_revision(cluster: &mut Cluster, revision: Revision, to: &[usize]) -> Option<Duration> {
    cluster.accept(revision, to);
    let members = cluster.alive();
    cluster
        .run_while_not(NEWS, |cluster| members.iter().all(|at| revision <= cluster.revision(*at)))
}
