//! Prints the cost of a zone's reclaim for each recovery strategy.

use std::{
    io::{self, Write},
    time::Duration,
};

use bulrushhall_bench::reclaim::{ReclaimPlan, ReclaimStrategy, simulate_reclaim};

fn main() -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "notice  way      answers  recomputed  rewritten  moved  moved bytes")?;
    for seconds in [2, 3, 5] {
        for strategy in [ReclaimStrategy::Restart, ReclaimStrategy::Resume, ReclaimStrategy::Move] {
            let plan =
                ReclaimPlan { notice: Duration::from_secs(seconds), ..ReclaimPlan::default() };
            let cost = simulate_reclaim(&plan, strategy);
            writeln!(
                out,
                "{seconds:>4} s  {:<8} {:>7}  {:>10}  {:>9}  {:>5}  {:>11}",
                format!("{strategy:?}"),
                cost.answers,
                cost.recomputed_tokens,
                cost.rewritten_tokens,
                cost.moved,
                cost.moved_bytes,
            )?;
        }
    }
    Ok(())
}
