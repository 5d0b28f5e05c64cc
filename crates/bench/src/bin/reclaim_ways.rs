//! Prints what a reclaimed zone costs in three ways.

use std::{
    io::{self, Write},
    time::Duration,
};

use bulrushhall_bench::reclaim::{ReclaimPlan, Way, play};

fn main() -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "notice  way      answers  recomputed  rewritten  moved  moved bytes")?;
    for seconds in [2, 3, 5] {
        for way in [Way::Restart, Way::Resume, Way::Move] {
            let plan =
                ReclaimPlan { notice: Duration::from_secs(seconds), ..ReclaimPlan::default() };
            let cost = play(&plan, way);
            writeln!(
                out,
                "{seconds:>4} s  {:<8} {:>7}  {:>10}  {:>9}  {:>5}  {:>11}",
                format!("{way:?}"),
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
