//! Measures the policy on both deployments and writes the report with its plots.

use std::{io::Write, path::PathBuf, process::ExitCode};

use bulrushhall_bench::policy::{ReportOptions, write_report};
use clap::{Arg, Command, value_parser};

fn main() -> ExitCode {
    let defaults = ReportOptions::default();
    let directory = Arg::new("directory")
        .long("directory")
        .help("The directory that the report is written to")
        .value_parser(value_parser!(PathBuf));
    let threads = Arg::new("threads")
        .long("threads")
        .help("The number of threads that run simulations")
        .value_parser(value_parser!(usize));
    let command = Command::new("policy_report").about("Measures the policy and writes the report");
    let args = command.arg(directory).arg(threads).get_matches();
    let options = ReportOptions {
        directory: args.get_one("directory").cloned().unwrap_or(defaults.directory.clone()),
        threads: args.get_one("threads").copied().unwrap_or(defaults.threads),
        ..defaults
    };
    match write_report(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "the report was not written: {error}");
            ExitCode::FAILURE
        }
    }
}
