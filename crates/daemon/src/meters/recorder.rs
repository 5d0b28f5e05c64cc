//! The metrics recorder of one node.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bulrushhall_core::NodeName;
use metrics::{Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::{
    context::Context,
    dispatcher::Queues,
    meters::{Kind, Metric},
};

/// The upper bounds of histogram buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0, 60.0];
/// The metadata of all metrics.
const METADATA: Metadata<'static> = Metadata::new("bulrushhall", Level::INFO, None);

/// `Meters` are the metrics of one node.
///
/// Each node has its own recorder instead of the process-wide one, since tests run several nodes in one
/// process.
pub struct Meters {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    totals: [AtomicU64; Metric::ALL.len()],
}

impl Meters {
    /// Returns meters without any values.
    pub fn new(node: &NodeName) -> Meters {
        let builder = PrometheusBuilder::new().add_global_label("node", node.as_str());
        // Only an empty list of buckets is refused.
        let builder = builder.set_buckets(&BUCKETS).unwrap_or_else(|_| PrometheusBuilder::new());
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        let meters = Meters { recorder, handle, totals: Default::default() };
        for metric in Metric::ALL {
            meters.describe(metric);
        }
        meters
    }

    /// Adds to a counter.
    pub fn count(&self, metric: Metric, labels: &[(&'static str, &str)], amount: u64) {
        self.totals[metric.index()].fetch_add(amount, Ordering::Relaxed);
        self.recorder.register_counter(&key(metric, labels), &METADATA).increment(amount);
    }

    /// Records a duration in a histogram.
    pub fn time(&self, metric: Metric, labels: &[(&'static str, &str)], time: Duration) {
        let histogram = self.recorder.register_histogram(&key(metric, labels), &METADATA);
        histogram.record(time.as_secs_f64());
    }

    /// Sets a gauge.
    pub fn set(&self, metric: Metric, labels: &[(&'static str, &str)], value: f64) {
        self.recorder.register_gauge(&key(metric, labels), &METADATA).set(value);
    }

    /// Adds to a gauge.
    pub fn add(&self, metric: Metric, by: f64) {
        self.recorder.register_gauge(&key(metric, &[]), &METADATA).increment(by);
    }

    /// Returns the sum of a counter over all labels.
    pub fn total(&self, metric: Metric) -> u64 {
        self.totals[metric.index()].load(Ordering::Relaxed)
    }

    /// Updates the gauges from the node's present state.
    pub async fn sample(&self, cx: &Context) {
        let in_force = cx.in_force();
        let highest = (*cx.highest_revision.borrow()).max(in_force.revision);
        let lag = highest.0 - in_force.revision.0;
        self.set(Metric::Revision, &[], as_value(in_force.revision.0));
        self.set(Metric::RevisionLag, &[], as_value(lag));
        self.set(Metric::Members, &[], as_value(cx.members.current().len() as u64));
        self.set(Metric::Unfinished, &[], as_value(cx.answers.unfinished() as u64));
        self.set(Metric::Leaving, &[], as_value(u64::from(cx.is_leaving())));
        self.set(Metric::BodyBytes, &[], as_value(cx.bodies.used_bytes() as u64));
        for depth in cx.dispatcher.send(Queues).await.unwrap_or_default() {
            let labels = [("service", depth.service.as_str())];
            self.set(Metric::QueueWaiting, &labels, as_value(depth.waiting as u64));
            self.set(Metric::QueueRunning, &labels, as_value(depth.running as u64));
        }
        for service in in_force.deployment.services.keys() {
            let known = cx.backends.of(service).len() as u64;
            self.set(Metric::Backends, &[("service", service.as_str())], as_value(known));
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Aggregates recorded durations into their buckets.
    ///
    /// Until this runs or the metrics are read, each duration is stored individually: without it, the
    /// memory of a node whose metrics nobody reads would grow with every request.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }

    fn describe(&self, metric: Metric) {
        let name = metric.name().into();
        let description = "see docs/METRICS.md".into();
        match metric.kind() {
            Kind::Counter => self.recorder.describe_counter(name, None, description),
            Kind::Gauge => self.recorder.describe_gauge(name, None, description),
            Kind::Histogram => self.recorder.describe_histogram(name, None, description),
        }
    }
}

fn key(metric: Metric, labels: &[(&'static str, &str)]) -> Key {
    debug_assert!(labels.iter().map(|(name, _)| name).eq(metric.labels()), "{metric:?} {labels:?}");
    let labels = labels.iter().map(|(name, value)| Label::new(*name, (*value).to_owned()));
    Key::from_parts(metric.name(), labels.collect::<Vec<Label>>())
}

// Counts stay far below 2^53, up to which a float represents integers exactly.
fn as_value(count: u64) -> f64 {
    count as f64
}
