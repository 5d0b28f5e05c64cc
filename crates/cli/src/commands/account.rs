//! `bulrush account`: reports why requests were late, refused or failed, from the logs of several nodes.

use std::{
    fs::File,
    io::{BufRead, BufReader, stdin},
    path::{Path, PathBuf},
};

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

use crate::{
    account::{Grouping, LogReader, LossCounter, LossGroup, LossReport, SkippedLines},
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("account")
        .about("Reports why requests were late, refused or failed, from the logs of nodes")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("The log of a node that serves routes; - reads standard input")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .value_name("GROUP")
                .help("Counts by this as well as by cause")
                .default_value("cause")
                .value_parser(PossibleValuesParser::new(Grouping::NAMES)),
        )
}

/// Reads the logs and prints the report.
pub fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let by = args.get_one::<String>("by").and_then(|name| name.parse().ok()).unwrap_or_default();
    let mut counter = LossCounter::new(by);
    let mut skipped = SkippedLines::default();
    for file in args.get_many::<PathBuf>("files").into_iter().flatten() {
        let read = |cause| CliError::Read { file: file.clone(), cause };
        let source: Box<dyn BufRead> = if file == Path::new("-") {
            Box::new(stdin().lock())
        } else {
            Box::new(BufReader::new(File::open(file).map_err(read)?))
        };
        let node = file.file_stem().map(|name| name.to_string_lossy().into_owned());
        let node = node.unwrap_or_default();
        let mut reader = LogReader::new(source);
        while let Some(call) = reader.next_call().map_err(read)? {
            counter.note(&node, &call);
        }
        skipped = skipped.plus(reader.skipped);
    }
    let report = counter.report(skipped);
    if report.ended == 0 {
        return Err(CliError::NoRequests);
    }
    out.print(&report, &to_text(&report))?;
    Ok(ExitStatus::Done)
}

fn to_text(report: &LossReport) -> String {
    let header = [
        "GROUP",
        "CAUSE",
        "REQUESTS",
        "WAIT_MS",
        "EXPECTED_MS",
        "FIRST_MS",
        "AFTER_MS",
        "CANDIDATES",
        "CONFIG_AGE_MS",
    ];
    let mut rows = Vec::new();
    for loss in &report.losses {
        let LossGroup { group, cause, requests, .. } = loss;
        let mut row = vec![group.clone(), cause.to_string(), requests.to_string()];
        for mean in [
            loss.wait_ms,
            loss.expected_ms,
            loss.first_ms,
            loss.after_ms,
            loss.candidates,
            loss.config_age_ms,
        ] {
            row.push(mean.map_or_else(|| "-".to_owned(), |mean| format!("{mean:.0}")));
        }
        rows.push(row);
    }
    let SkippedLines { other_events, malformed, too_long } = report.skipped;
    format!(
        "{} requests ended, {} in time\n{}\nother lines: {other_events}, malformed: {malformed}, too long: {too_long}\n",
        report.ended,
        report.in_time,
        table(&header, rows)
    )
}
