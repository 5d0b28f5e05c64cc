//! Runs load with random faults for a given time and checks all guarantees.

use std::{
    error,
    io::{self, Write},
    process::ExitCode,
    time::{Duration, Instant},
};

use bulrushhall_bench::{scenario::summarize_violations, soak::Soak};
use clap::{Arg, Command, value_parser};

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn error::Error + Send + Sync>> {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default)
    };
    let matches = Command::new("soak")
        .about("Runs load with random faults and checks all guarantees")
        .arg(number("seconds", "600").help("The time during which rounds are started"))
        .arg(number("seed", "1").help("The seed of load and faults"))
        .get_matches();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(600);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);

    let mut out = io::stdout();
    writeln!(out, "seed {seed}")?;
    let started = Instant::now();
    let mut soak = Soak::start(seed).await?;
    let mut broken = 0;
    while started.elapsed() < Duration::from_secs(seconds) {
        let round = soak.round().await?;
        writeln!(
            out,
            "round {} {:?}: {} sent, {} unfinished, {}, {} kB, {} handles",
            round.number,
            round.faults,
            round.sent,
            round.unfinished,
            summarize_violations(&round.violations),
            round.resident,
            round.handles,
        )?;
        for violation in &round.violations {
            writeln!(out, "  {violation}")?;
        }
        broken += round.violations.len();
    }
    writeln!(out, "{:.0} s, {broken} broken promises", started.elapsed().as_secs_f64())?;
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
