//! The results of a run by kind of request.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::load::{Kind, Mix, Outcome, Phase, Plan, Record};

/// The maximum latency that histograms record, in microseconds; higher ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// A `Report` is the result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The mix.
    pub mix: Mix,
    /// The arrivals per second.
    pub rate: f64,
    /// The seed.
    pub seed: u64,
    /// The seconds until the last answer had ended.
    pub seconds: f64,
    /// The results by kind, without the warm-up.
    pub summaries: BTreeMap<Kind, Summary>,
    /// The records of all callers, warm-up included; omitted from the written report.
    #[serde(skip)]
    pub records: Vec<Record>,
}

/// A `Summary` is the results of one kind of request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The requests that were sent.
    pub sent: u64,
    /// Those that were accepted.
    pub accepted: u64,
    /// Those whose whole answer was received.
    pub finished: u64,
    /// Those that were refused in the end, after any retries.
    pub refused: u64,
    /// Those that were accepted and failed.
    pub failed: u64,
    /// Those that were abandoned before they ended.
    pub cut: u64,
    /// Duplicate events.
    pub duplicated: u64,
    /// Reconnects to interrupted streams.
    pub reconnects: u64,
    /// Retries of requests.
    pub retries: u64,
    /// Tokens that were received.
    pub tokens: u64,
    /// The time from the planned send time to the first token.
    pub first_token: Latency,
    /// The time between tokens.
    pub gap: Latency,
    /// The time from the planned send time to the end.
    pub total: Latency,
}

/// A `Latency` is the percentiles of a set of latencies, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

impl Report {
    /// Returns the report of a run from its records; `length` is the time that it took.
    pub fn new(plan: &Plan, length: Duration, records: Vec<Record>) -> Report {
        let mut by_kind: BTreeMap<Kind, Vec<&Record>> = BTreeMap::new();
        for record in records.iter().filter(|record| record.phase == Phase::Measured) {
            by_kind.entry(record.kind).or_default().push(record);
        }
        let summaries = by_kind.into_iter().map(|(kind, of_kind)| (kind, summarize(&of_kind)));
        let summaries = summaries.collect();
        let seconds = length.as_secs_f64();
        Report { mix: plan.mix, rate: plan.rate, seed: plan.seed, seconds, summaries, records }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<8} {:>6} {:>6} {:>6} {:>6} {:>5} {:>4} {:>9} {:>9} {:>8} {:>8} {:>9}",
            "kind",
            "sent",
            "accept",
            "finish",
            "refuse",
            "fail",
            "cut",
            "first p50",
            "first p95",
            "gap p50",
            "gap p95",
            "total p95",
        )?;
        for (kind, summary) in &self.summaries {
            writeln!(
                f,
                "{:<8} {:>6} {:>6} {:>6} {:>6} {:>5} {:>4} {:>9} {:>9} {:>8} {:>8} {:>9}",
                format!("{kind:?}").to_lowercase(),
                summary.sent,
                summary.accepted,
                summary.finished,
                summary.refused,
                summary.failed,
                summary.cut,
                millis(summary.first_token.p50),
                millis(summary.first_token.p95),
                millis(summary.gap.p50),
                millis(summary.gap.p95),
                millis(summary.total.p95),
            )?;
        }
        write!(f, "times in ms, from the planned sending on; {:.1} s in all", self.seconds)
    }
}

impl Latency {
    /// Returns the percentiles of `times`.
    pub fn of(times: impl Iterator<Item = Duration>) -> Latency {
        let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3) else {
            return Latency::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros);
        }
        if histogram.is_empty() {
            return Latency::default();
        }
        Latency {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

// Latencies are relative to the planned send time, which corrects for coordinated omission: an
// answer that is late because a slow earlier one delayed the sender counts as late.
fn summarize(records: &[&Record]) -> Summary {
    let count = |outcome| records.iter().filter(|record| record.outcome == outcome).count() as u64;
    let sum =
        |field: fn(&Record) -> u32| records.iter().map(|record| u64::from(field(record))).sum();
    let finished = || records.iter().filter(|record| record.outcome == Outcome::Finished);
    Summary {
        sent: records.len() as u64,
        accepted: records.iter().filter(|record| record.accepted).count() as u64,
        finished: count(Outcome::Finished),
        refused: count(Outcome::Refused),
        failed: count(Outcome::Failed),
        cut: count(Outcome::Cut),
        duplicated: sum(|record| record.duplicated),
        reconnects: sum(|record| record.reconnects),
        retries: sum(|record| record.retries),
        tokens: records.iter().map(|record| tokens(record)).sum(),
        first_token: Latency::of(records.iter().filter_map(|record| record.first_token)),
        gap: Latency::of(records.iter().flat_map(|record| record.gaps.iter().copied())),
        total: Latency::of(finished().map(|record| record.ended.saturating_sub(record.planned))),
    }
}

fn tokens(record: &Record) -> u64 {
    if record.first_token.is_none() { 0 } else { record.gaps.len() as u64 + 1 }
}

fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1e3)
}
