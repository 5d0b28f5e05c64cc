//! What the demo yielded, from what callers and stand-ins saw.

use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use bulrushhall_bench::{
    Testbed,
    check::Violation,
    load::{Kind, Outcome as Ended, Report, Summary},
};
use comfy_table::Table;
use serde::Serialize;

use crate::demo::options::DemoOptions;

/// An `Outcome` is what the demo yielded.
#[derive(Serialize)]
pub struct Outcome {
    seed: u64,
    seconds: f64,
    classes: BTreeMap<Kind, Summary>,
    not_finished: BTreeMap<String, u64>,
    spent_cents: f64,
    cost_per_thousand_finished_cents: f64,
    computed_tokens: u64,
    recomputed_tokens: u64,
    moved_bytes: u64,
    orders_run_more_than_once: usize,
    key_value_calls: u64,
    broken_promises: Vec<String>,
    /// The promises that were broken.
    #[serde(skip)]
    pub violations: Vec<Violation>,
}

impl Outcome {
    /// Returns the outcome of a run that has ended.
    pub fn new(testbed: &Testbed, report: Report, violations: Vec<Violation>) -> Outcome {
        let engines = testbed.machines.engine_counts();
        let kv = testbed.kv.counts();
        let finished: u64 = report.summaries.values().map(|summary| summary.finished).sum();
        // The cloud counts in thousandths of a cent.
        let spent_cents = testbed.cloud.spent() / 1e3;
        let broken = violations
            .iter()
            .map(|found| format!("{:?}: {}: {}", found.broken, found.subject, found.seen));
        let not_finished = not_finished(&report);
        Outcome {
            not_finished,
            seed: report.seed,
            seconds: report.seconds,
            spent_cents,
            cost_per_thousand_finished_cents: spent_cents * 1e3 / finished.max(1) as f64,
            computed_tokens: engines.computed_tokens,
            recomputed_tokens: engines.recomputed_tokens,
            moved_bytes: engines.exported_bytes,
            orders_run_more_than_once: testbed.ledger.duplicated_keys(),
            key_value_calls: kv.reads + kv.writes + kv.leases + kv.watches,
            broken_promises: broken.collect(),
            classes: report.summaries,
            violations,
        }
    }

    /// Prints the outcome as the arguments ask for.
    pub fn print(&self, options: &DemoOptions) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if options.json {
            return writeln!(out, "{}", serde_json::to_string(self)?);
        }
        writeln!(out, "{}", self.table())?;
        writeln!(
            out,
            "seed {}, {:.1} s, two zones taken back in overlap",
            self.seed, self.seconds
        )?;
        for (what, count) in &self.not_finished {
            writeln!(out, "not finished: {count} {what}")?;
        }
        writeln!(
            out,
            "cost {:.2} cents ({:.2} for 1,000 finished requests)",
            self.spent_cents, self.cost_per_thousand_finished_cents
        )?;
        writeln!(
            out,
            "tokens: {} computed, {} of them a second time; {} bytes of KV cache moved",
            self.computed_tokens, self.recomputed_tokens, self.moved_bytes
        )?;
        writeln!(out, "orders run more than once: {}", self.orders_run_more_than_once)?;
        writeln!(out, "calls of the key-value service: {}", self.key_value_calls)?;
        for broken in &self.broken_promises {
            writeln!(out, "broken promise: {broken}")?;
        }
        if self.broken_promises.is_empty() {
            writeln!(out, "no promise was broken")?;
        }
        Ok(())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header([
            "class",
            "sent",
            "accepted",
            "finished",
            "refused",
            "cut",
            "duplicated",
            "first token p50",
            "p95",
            "between tokens p95",
        ]);
        for (kind, summary) in &self.classes {
            table.add_row([
                format!("{kind:?}").to_lowercase(),
                summary.sent.to_string(),
                summary.accepted.to_string(),
                summary.finished.to_string(),
                summary.refused.to_string(),
                (summary.cut + summary.failed).to_string(),
                summary.duplicated.to_string(),
                millis(summary.first_token.p50),
                millis(summary.first_token.p95),
                millis(summary.gap.p95),
            ]);
        }
        table
    }
}

// How requests that did not finish were answered last: their kind, code and whether they ran.
fn not_finished(report: &Report) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for record in report.records.iter().filter(|record| record.outcome != Ended::Finished) {
        let kind = format!("{:?}", record.kind).to_lowercase();
        let code = record.code.as_deref().unwrap_or("no answer");
        let what = format!("{kind}: {code}, ran: {}", record.ran.as_str());
        *counts.entry(what).or_default() += 1;
    }
    counts
}

fn millis(micros: u64) -> String {
    if micros == 0 { "-".to_owned() } else { format!("{:.1} ms", micros as f64 / 1e3) }
}
