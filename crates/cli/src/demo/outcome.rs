//! The result of the demo, from the records of callers and stand-ins.

use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use bulrushhall_bench::{
    Testbed,
    check::Violation,
    load::{Kind, Outcome as RequestOutcome, Report, Summary},
};
use comfy_table::Table;
use serde::Serialize;

use crate::demo::options::DemoOptions;

/// An `Outcome` is the result of a demo run; its field names are the keys of the JSON output.
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
    /// Returns the outcome of a finished run.
    pub fn new(testbed: &Testbed, report: Report, violations: Vec<Violation>) -> Outcome {
        let engines = testbed.machines.engine_counts();
        let kv = testbed.kv.counts();
        let finished: u64 = report.summaries.values().map(|summary| summary.finished).sum();
        // The cloud reports costs in thousandths of a cent.
        let spent_cents = testbed.cloud.spent() / 1e3;
        let violation_texts = violations
            .iter()
            .map(|item| format!("{:?}: {}: {}", item.broken, item.subject, item.seen));
        let not_finished = count_unfinished(&report);
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
            broken_promises: violation_texts.collect(),
            classes: report.summaries,
            violations,
        }
    }

    /// Prints the outcome in the format that the arguments select.
    pub fn print(&self, options: &DemoOptions) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if options.json {
            return writeln!(out, "{}", serde_json::to_string(self)?);
        }
        writeln!(out, "{}", self.table())?;
        writeln!(
            out,
            "seed {}, {:.1} s, two zones reclaimed with overlapping notices",
            self.seed, self.seconds
        )?;
        for (reason, count) in &self.not_finished {
            writeln!(out, "not finished: {count} {reason}")?;
        }
        writeln!(
            out,
            "cost {:.2} cents ({:.2} for 1,000 finished requests)",
            self.spent_cents, self.cost_per_thousand_finished_cents
        )?;
        writeln!(
            out,
            "tokens: {} computed, {} of them recomputed; {} bytes of KV cache transferred",
            self.computed_tokens, self.recomputed_tokens, self.moved_bytes
        )?;
        writeln!(out, "orders run more than once: {}", self.orders_run_more_than_once)?;
        writeln!(out, "calls to the key-value service: {}", self.key_value_calls)?;
        for promise in &self.broken_promises {
            writeln!(out, "broken promise: {promise}")?;
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

// Counts the unfinished requests by kind, code of the last response and whether they ran.
fn count_unfinished(report: &Report) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for record in report.records.iter().filter(|record| record.outcome != RequestOutcome::Finished)
    {
        let kind = format!("{:?}", record.kind).to_lowercase();
        let code = record.code.as_deref().unwrap_or("no answer");
        let reason = format!("{kind}: {code}, ran: {}", record.ran.as_str());
        *counts.entry(reason).or_default() += 1;
    }
    counts
}

fn millis(micros: u64) -> String {
    if micros == 0 { "-".to_owned() } else { format!("{:.1} ms", micros as f64 / 1e3) }
}
