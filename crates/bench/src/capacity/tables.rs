//! The tables of the capacity page, computed from slopes and the target.

use std::collections::BTreeMap;

use crate::capacity::{Slope, Slopes, Target};

/// The text for a value without a measurement.
const NOT_MEASURED: &str = "not measured";
/// The mark of a value that is extrapolated beyond the measured range.
const EXTRAPOLATED: &str = " (e)";
/// The seconds for which finished answers are retained.
const KEPT_SECONDS: f64 = 300.0;
/// The maximum number of finished answers that a node retains.
const MAX_KEPT_ANSWERS: f64 = 20_000.0;
/// The bytes of a request at the target; not known, so the value of the load mixes is assumed.
const REQUEST_BYTES: f64 = 2_000.0;
/// The microseconds of processor time per second at which a core is saturated.
const CORE_MICROS: f64 = 1e6;
/// The share of a core that serving may use before tail latencies grow.
const CORE_SHARE: f64 = 0.5;
/// The share of requests that may run at most once; not known, so the value of the load mixes is
/// assumed.
const ORDER_SHARE: f64 = 0.15;

/// The minimum share of variance that a fit must explain to be extrapolated beyond its points.
const MIN_FIT: f64 = 0.8;

/// An `Estimator` computes estimates from slopes and marks those beyond the measured range.
struct Estimator<'a> {
    slopes: &'a Slopes,
    target: &'a Target,
}

/// An `Estimate` is a value that may be missing and may be extrapolated.
#[derive(Clone, Copy)]
struct Estimate {
    value: Option<f64>,
    extrapolated: bool,
}

/// A `Limit` is the size of a quantity at which the bound of a resource is reached.
struct Limit {
    what: &'static str,
    quantity: &'static str,
    at_target: Estimate,
    at: Estimate,
    bound: String,
    /// The text for measured values that are not linear.
    poor_fit: Option<String>,
}

/// Returns the tables by their names on the page.
pub fn tables(slopes: &Slopes, target: &Target) -> BTreeMap<&'static str, String> {
    let estimator = Estimator { slopes, target };
    BTreeMap::from([
        ("slopes", estimator.slopes_table()),
        ("load", estimator.load_table()),
        ("roles", estimator.roles_table()),
        ("relay", estimator.relay_table()),
        ("kv", estimator.kv_table()),
        ("limits", estimator.limits_table()),
    ])
}

impl Estimate {
    const MISSING: Estimate = Estimate { value: None, extrapolated: false };

    fn exact(value: f64) -> Estimate {
        Estimate { value: Some(value), extrapolated: false }
    }

    fn map(self, change: impl FnOnce(f64) -> f64) -> Estimate {
        Estimate { value: self.value.map(change), ..self }
    }

    fn plus(self, other: Estimate) -> Estimate {
        let value = self.value.zip(other.value).map(|(a, b)| a + b);
        Estimate { value, extrapolated: self.extrapolated || other.extrapolated }
    }

    fn text(self, unit: &str) -> String {
        match self.value {
            None => NOT_MEASURED.to_owned(),
            Some(value) => {
                let mark = if self.extrapolated { EXTRAPOLATED } else { "" };
                let unit = if unit.is_empty() { String::new() } else { format!(" {unit}") };
                format!("{}{unit}{mark}", number(value))
            }
        }
    }
}

impl Estimator<'_> {
    fn slope(&self, name: &str) -> Option<&Slope> {
        self.slopes.slopes.get(name)
    }

    fn at(&self, name: &str, size: f64) -> Estimate {
        let Some(slope) = self.slope(name) else { return Estimate::MISSING };
        Estimate { value: Some(slope.at(size)), extrapolated: slope.is_extrapolated(size) }
    }

    fn each(&self, name: &str) -> Estimate {
        self.slope(name).map_or(Estimate::MISSING, |slope| Estimate::exact(slope.each))
    }

    fn node_tokens(&self) -> f64 {
        self.target.tokens / self.target.nodes
    }

    fn node_requests(&self) -> f64 {
        self.target.requests / self.target.nodes
    }

    fn node_answers(&self) -> f64 {
        self.target.open_answers() / self.target.nodes
    }

    fn kept_answers(&self) -> f64 {
        (self.node_requests() * KEPT_SECONDS).min(MAX_KEPT_ANSWERS)
    }

    fn slopes_table(&self) -> String {
        let head = ["slope", "value", "by", "measured from", "to", "each", "fixed", "fit"];
        let mut rows = Vec::new();
        for (name, slope) in &self.slopes.slopes {
            let (from, to) = slope.range();
            rows.push(vec![
                format!("`{name}`"),
                slope.value.clone(),
                slope.size.clone(),
                number(from),
                number(to),
                number(slope.each),
                number(slope.fixed),
                format!("{:.3}", slope.fit),
            ]);
        }
        table(&head, &rows)
    }

    fn load_table(&self) -> String {
        let target = self.target;
        let left = target.nodes_without_a_zone();
        let whole = target.nodes;
        let rows = [
            ("nodes", whole, left),
            ("requests/s of one node", target.requests / whole, target.requests / left),
            ("tokens/s of one node", target.tokens / whole, target.tokens / left),
            ("tokens of an average answer", target.answer_tokens(), target.answer_tokens()),
            ("seconds that an answer is open", target.open_seconds(), target.open_seconds()),
            ("open answers in all", target.open_answers(), target.open_answers()),
            (
                "open answers of one node",
                target.open_answers() / whole,
                target.open_answers() / left,
            ),
            ("workers for each node", target.workers / whole, target.workers / left),
        ];
        let rows: Vec<Vec<String>> = rows
            .iter()
            .map(|(what, all, less)| vec![(*what).to_owned(), number(*all), number(*less)])
            .collect();
        table(&["at the peak", "all nodes", "one availability zone gone"], &rows)
    }

    fn relay_table(&self) -> String {
        let mut rows = Vec::new();
        for (name, what) in [
            ("alone_processor", "without a copy elsewhere"),
            ("relay_processor", "owner, each token copied to a holder"),
            ("holder_processor", "holder of the copies"),
        ] {
            let each = self.each(name);
            let core = each.map(|micros| CORE_MICROS / micros);
            let nodes = core.map(|core| self.target.tokens / (core * CORE_SHARE));
            rows.push(vec![
                what.to_owned(),
                each.text("µs"),
                core.text("tokens/s"),
                self.at(name, self.node_tokens()).map(|micros| micros / CORE_MICROS).text("cores"),
                nodes.text("nodes"),
            ]);
        }
        let both = self.each("relay_processor").plus(self.each("holder_processor"));
        let core = both.map(|micros| CORE_MICROS / micros);
        let used = self
            .at("relay_processor", self.node_tokens())
            .plus(self.at("holder_processor", self.node_tokens()));
        rows.push(vec![
            "both parts, as each node has them".to_owned(),
            both.text("µs"),
            core.text("tokens/s"),
            used.map(|micros| micros / CORE_MICROS).text("cores"),
            core.map(|core| self.target.tokens / (core * CORE_SHARE)).text("nodes"),
        ]);
        let head = [
            "part",
            "a token",
            "a whole core",
            "at the target, one node",
            "needed with half a core each",
        ];
        table(&head, &rows)
    }

    fn roles_table(&self) -> String {
        let head = ["role", "state", "messages", "processor", "memory", "mechanism"];
        table(
            &head,
            &[
                self.entry_row(),
                self.holder_row(),
                self.engine_row(),
                self.membership_row(),
                self.relay_row(),
                self.watcher_row(),
                self.duty_row(),
            ],
        )
    }

    fn entry_row(&self) -> Vec<String> {
        let (tokens, answers) = (self.node_tokens(), self.node_answers());
        let relayed = self.at("relay_processor", tokens);
        let asked = self.each("request_processor").map(|micros| micros * self.node_requests());
        let cores = relayed.plus(asked).map(|micros| micros / CORE_MICROS);
        let open = self.at("stream_memory", answers).map(megabytes);
        let kept = self.at("kept_memory", self.kept_answers()).map(megabytes);
        vec![
            "entry node".to_owned(),
            format!(
                "{} open answers, {} finished ones kept for {} s",
                number(answers),
                number(self.kept_answers()),
                number(KEPT_SECONDS)
            ),
            format!("{} requests/s, {} tokens/s", number(self.node_requests()), number(tokens)),
            cores.text("cores"),
            format!("{} open, {} kept", open.text("MB"), kept.text("MB")),
            "request pipeline; readers follow an answer at their own speed".to_owned(),
        ]
    }

    fn holder_row(&self) -> Vec<String> {
        let (tokens, answers) = (self.node_tokens(), self.node_answers());
        let first = self.at("copy_bytes", REQUEST_BYTES).map(|it| it * self.node_requests());
        // With a few hundred holders to choose from, tokens of two streams rarely share a message.
        let rest = self.at("token_bytes", 1.0).map(|bytes| bytes * tokens);
        vec![
            "copy holder".to_owned(),
            format!("{} copies with their tokens", number(answers)),
            format!(
                "{} of tokens, {} of first copies, both received and sent; replies beside",
                rest.map(|bytes| bytes / 1e6).text("MB/s"),
                first.map(|bytes| bytes / 1e3).text("kB/s"),
            ),
            self.at("holder_processor", tokens).map(|it| it / CORE_MICROS).text("cores"),
            self.at("holder_memory", answers).map(megabytes).text("MB"),
            "copy to one peer in another availability zone before acceptance is answered"
                .to_owned(),
        ]
    }

    fn engine_row(&self) -> Vec<String> {
        let workers = self.target.workers;
        let follow = self.at("follow_processor", workers).map(|micros| micros / CORE_MICROS);
        let decide = self.at("decision_cost", workers);
        let decided = decide.map(|micros| micros * self.node_requests() / CORE_MICROS);
        vec![
            "engine-facing side, all workers followed".to_owned(),
            format!("{} workers, {} connections", number(workers), number(workers)),
            format!("{} calls/s for load and cache events", number(workers * 8.0)),
            format!(
                "{} to follow; {} a decision, {}",
                follow.text("cores"),
                decide.text("µs"),
                decided.text("cores")
            ),
            NOT_MEASURED.to_owned(),
            "each node asks each engine 4 times a second; a subset of workers a node, and loads \
             collected once for all nodes, are not in force"
                .to_owned(),
        ]
    }

    fn membership_row(&self) -> Vec<String> {
        let nodes = self.target.nodes;
        let core = self.at("spread_processor", nodes).map(|share| share * 100.0);
        vec![
            "member of a zone's domain".to_owned(),
            format!("{} members", number(nodes)),
            format!(
                "{} sent, {}",
                self.at("spread_messages", nodes).text("messages/s"),
                self.at("spread_bytes", nodes).text("B/s")
            ),
            core.text("% of a core, the machines alone"),
            self.at("idle_memory", nodes).map(megabytes).text("MB, whole idle process"),
            "gossip inside the domain, period grows with its members".to_owned(),
        ]
    }

    fn relay_row(&self) -> Vec<String> {
        vec![
            "zone relay".to_owned(),
            "as a member, and digests of other zones".to_owned(),
            self.at("spread_bytes_most", self.target.nodes).text("B/s for the busiest node"),
            NOT_MEASURED.to_owned(),
            NOT_MEASURED.to_owned(),
            "two relays a zone exchange summaries between domains".to_owned(),
        ]
    }

    fn watcher_row(&self) -> Vec<String> {
        let watchers = 2.0 * self.target.zones;
        vec![
            "watcher".to_owned(),
            "one revision and the configuration's text".to_owned(),
            format!(
                "{} watches/s by {} watchers; {} reads for each of {} changes a day",
                number(watchers / 3.0),
                number(watchers),
                number(watchers),
                number(self.target.changes)
            ),
            NOT_MEASURED.to_owned(),
            NOT_MEASURED.to_owned(),
            "two watchers a zone; others are told the highest revision by peers and fetch it there"
                .to_owned(),
        ]
    }

    fn duty_row(&self) -> Vec<String> {
        vec![
            "duty holder (notices, VM list, fleet)".to_owned(),
            "one lease a duty, with a fencing number".to_owned(),
            format!(
                "{} writes and lease calls/s by all nodes at {} nodes",
                self.at("kv_writes", self.target.nodes).text(""),
                number(self.target.nodes)
            ),
            NOT_MEASURED.to_owned(),
            NOT_MEASURED.to_owned(),
            "lease in the key-value service, two candidates a duty".to_owned(),
        ]
    }

    fn kv_table(&self) -> String {
        let target = self.target;
        let watchers = 2.0 * target.zones;
        let watches = watchers / 3.0;
        let changes = target.changes / 86_400.0;
        let events = (target.failures + target.replacements) / 86_400.0;
        let orders = self.each("order_writes").map(|each| each * target.requests * ORDER_SHARE);
        let rows = [
            (
                "watches of the configuration, two a zone, 3 s each",
                Estimate::exact(watches),
                "reads",
            ),
            ("reads after a change, all watchers", Estimate::exact(changes * watchers), "reads"),
            (
                "writes for changes, three at most for each",
                Estimate::exact(changes * 3.0),
                "writes",
            ),
            ("reads at the start of nodes for VM events", Estimate::exact(events * 2.0), "reads"),
            ("measured with idle nodes: reads", self.at("kv_reads", target.nodes), "reads"),
            ("measured with idle nodes: watches", self.at("kv_watches", watchers), "reads"),
            (
                "measured with idle nodes: writes and leases",
                self.at("kv_writes", target.nodes),
                "writes",
            ),
            (
                "claims of keyed calls, if 15 % of requests are such, by the measured slope",
                orders,
                "writes",
            ),
        ];
        let mut lines = Vec::new();
        for (what, rate, kind) in rows {
            let cap = if kind == "reads" { target.kv_reads } else { target.kv_writes };
            let share = rate.map(|rate| rate / cap * 100.0);
            lines.push(vec![
                what.to_owned(),
                kind.to_owned(),
                rate.text("/s"),
                number(cap),
                share.text("%"),
            ]);
        }
        table(&["what", "kind", "at the target", "cap", "share of the cap"], &lines)
    }

    fn limits_table(&self) -> String {
        let mut limits = vec![
            self.limit(
                "engines followed by one node",
                "workers",
                "follow_processor",
                self.target.workers,
                self.target.control_core * CORE_MICROS,
                "1.8 % of a core",
            ),
            self.limit(
                "relaying, owner and one core",
                "tokens/s of a node",
                "relay_processor",
                self.node_tokens(),
                CORE_MICROS,
                "one core",
            ),
            self.limit(
                "relaying, owner and half a core",
                "tokens/s of a node",
                "relay_processor",
                self.node_tokens(),
                CORE_MICROS * CORE_SHARE,
                "half a core",
            ),
            self.limit(
                "holding copies, half a core",
                "tokens/s of a node",
                "holder_processor",
                self.node_tokens(),
                CORE_MICROS * CORE_SHARE,
                "half a core",
            ),
            self.limit(
                "finished answers kept",
                "answers kept by a node",
                "kept_memory",
                self.kept_answers(),
                self.target.control_megabytes * 1_024.0,
                "64 MB",
            ),
            self.limit(
                "reads of the key-value service",
                "nodes",
                "kv_reads",
                self.target.nodes,
                self.target.kv_reads,
                "2,000 reads/s",
            ),
            self.limit(
                "writes of the key-value service",
                "nodes",
                "kv_writes",
                self.target.nodes,
                self.target.kv_writes,
                "400 writes/s",
            ),
            self.limit(
                "membership, bytes of the busiest node",
                "nodes",
                "spread_bytes_most",
                self.target.nodes,
                self.target.control_kilobytes * 1_000.0,
                "9 KB/s",
            ),
            self.limit(
                "idle node, processor",
                "nodes",
                "idle_processor",
                self.target.nodes,
                self.target.control_core * CORE_MICROS,
                "1.8 % of a core",
            ),
        ];
        limits.sort_by(|a, b| a.headroom().total_cmp(&b.headroom()));
        let mut rows = Vec::new();
        for limit in limits {
            let headroom = limit.headroom();
            let headroom =
                if headroom.is_finite() { format!("{headroom:.2}") } else { "-".to_owned() };
            let at = match limit.at.value {
                _ if limit.poor_fit.is_some() => limit.poor_fit.clone().unwrap_or_default(),
                Some(at) if at.is_infinite() => "not within sight".to_owned(),
                Some(0.0) => "above it without any".to_owned(),
                _ => limit.at.text(""),
            };
            rows.push(vec![
                limit.what.to_owned(),
                limit.bound,
                limit.quantity.to_owned(),
                limit.at_target.text(""),
                at,
                headroom,
            ]);
        }
        let head =
            ["what ends", "bound", "counted in", "at the target", "bound met at", "of the target"];
        table(&head, &rows)
    }

    fn limit(
        &self,
        what: &'static str,
        quantity: &'static str,
        name: &str,
        target: f64,
        bound: f64,
        bound_text: &str,
    ) -> Limit {
        let at = match self.slope(name) {
            None => Estimate::MISSING,
            Some(slope) if slope.each <= 0.0 => Estimate::exact(f64::INFINITY),
            Some(slope) => {
                let size = ((bound - slope.fixed) / slope.each).max(0.0);
                Estimate { value: Some(size), extrapolated: slope.is_extrapolated(size) }
            }
        };
        let poor_fit = self.slope(name).and_then(|slope| poor_fit(slope, bound));
        let (at_target, bound) = (Estimate::exact(target), bound_text.to_owned());
        Limit { what, quantity, at_target, at, bound, poor_fit }
    }
}

impl Limit {
    // Returns the size at which the bound is reached, as a multiple of the target size.
    fn headroom(&self) -> f64 {
        if self.poor_fit.is_some() {
            return f64::INFINITY;
        }
        let headroom = self.at.value.zip(self.at_target.value).map(|(at, target)| at / target);
        headroom.unwrap_or(f64::INFINITY)
    }
}

// Values whose variance the fit does not explain can't be extrapolated to larger sizes.
fn poor_fit(slope: &Slope, bound: f64) -> Option<String> {
    if MIN_FIT <= slope.fit {
        return None;
    }
    let shares = || slope.points.iter().map(|point| point.value / bound);
    let (min, max) = (shares().fold(f64::INFINITY, f64::min), shares().fold(0.0, f64::max));
    Some(format!("no clear line; {} to {} of the bound as measured", number(min), number(max)))
}

fn megabytes(kilobytes: f64) -> f64 {
    kilobytes / 1_024.0
}

fn number(value: f64) -> String {
    let digits = match value.abs() {
        size if size < 1.0 => 4,
        size if size < 100.0 => 2,
        _ => 0,
    };
    let text = format!("{value:.digits$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        let left = whole.len() - at;
        if at != 0 && left % 3 == 0 && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() { grouped } else { format!("{grouped}.{part}") }
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = format!("| {} |\n|{}\n", head.join(" | "), "---|".repeat(head.len()));
    for row in rows {
        text.push_str(&format!("| {} |\n", row.join(" | ")));
    }
    text
}
