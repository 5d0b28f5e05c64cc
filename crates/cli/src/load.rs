//! `bulrush load`: sends open-loop load to entries on this machine and compares reports.

use std::{
    fmt, fs,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use bulrushhall_bench::{
    compare::{Allowances, Verdict, compare},
    load::{Mix, Plan, PlanError, Record, Report, run},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// A `LoadError` is the reason why there is no report.
#[derive(Debug)]
enum LoadError {
    Plan(PlanError),
    File(PathBuf, io::Error),
    Report(PathBuf, serde_json::Error),
    Runtime(io::Error),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Plan(error) => write!(f, "{error}"),
            LoadError::File(path, error) => write!(f, "{}: {error}", path.display()),
            LoadError::Report(path, error) => {
                write!(f, "{} is not a load report: {error}", path.display())
            }
            LoadError::Runtime(error) => write!(f, "could not start the runtime: {error}"),
        }
    }
}

impl std::error::Error for LoadError {}

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("load")
        .about("Sends open-loop load to entries on this machine and reports latencies and outcomes")
        .arg(
            Arg::new("entry")
                .help("The address of an entry, such as 127.0.0.1:8080; may be repeated")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .required_unless_present("compare"),
        )
        .arg(
            option("mix", "The mix of requests: guild or newsroom")
                .value_parser(value_parser!(Mix)),
        )
        .arg(option("rate", "Arrivals per second").value_parser(value_parser!(f64)))
        .arg(
            option("seconds", "Duration of the arrivals, in seconds")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("warm-up", "Seconds at the start that are excluded from the report")
                .value_parser(value_parser!(u64)),
        )
        .arg(option("requests", "Maximum number of requests").value_parser(value_parser!(usize)))
        .arg(option("seed", "Seed of the arrivals").value_parser(value_parser!(u64)))
        .arg(option("model", "The model to request"))
        .arg(option("service", "The plain service to call"))
        .arg(option("team", "A team of the callers; may be repeated").action(ArgAction::Append))
        .arg(option("out", "File to write the report to, as JSON"))
        .arg(option(
            "trace",
            "File to write the record of each request to, one JSON object per line",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print JSON instead of human-readable text")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .help("Compare two report files; the exit code is 1 if the second is worse")
                .num_args(2)
                .value_names(["BEFORE", "AFTER"])
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the command; the exit code is 1 for a regression and 2 if there is no report or comparison.
pub fn run_command(args: &ArgMatches) -> ExitCode {
    match execute(args) {
        Ok(code) => code,
        Err(error) => {
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::from(2)
        }
    }
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn execute(args: &ArgMatches) -> Result<ExitCode, LoadError> {
    if let Some(files) = args.get_many::<PathBuf>("compare") {
        return compare_files(&files.cloned().collect::<Vec<PathBuf>>());
    }
    let entries = args.get_many::<SocketAddr>("entry").unwrap_or_default().copied().collect();
    let runtime = tokio::runtime::Runtime::new().map_err(LoadError::Runtime)?;
    let report = runtime.block_on(run(plan(args), entries)).map_err(LoadError::Plan)?;

    let json = serde_json::to_string(&report).unwrap_or_default();
    if let Some(path) = args.get_one::<String>("out") {
        write_file(path, &json)?;
    }
    if let Some(path) = args.get_one::<String>("trace") {
        write_file(path, &trace_lines(&report.records))?;
    }
    let text = if args.get_flag("json") { json } else { report.to_string() };
    let _ = writeln!(io::stdout(), "{text}");
    Ok(ExitCode::SUCCESS)
}

fn plan(args: &ArgMatches) -> Plan {
    let default = Plan::default();
    let seconds = |name: &str, fallback: Duration| {
        args.get_one::<u64>(name).map_or(fallback, |seconds| Duration::from_secs(*seconds))
    };
    let text =
        |name: &str, fallback: String| args.get_one::<String>(name).cloned().unwrap_or(fallback);
    let teams = args.get_many::<String>("team").map(|teams| teams.cloned().collect());
    Plan {
        mix: args.get_one("mix").copied().unwrap_or(default.mix),
        rate: args.get_one("rate").copied().unwrap_or(default.rate),
        length: seconds("seconds", default.length),
        warm_up: seconds("warm-up", default.warm_up),
        requests: args.get_one("requests").copied().unwrap_or(default.requests),
        seed: args.get_one("seed").copied().unwrap_or(default.seed),
        model: text("model", default.model),
        service: text("service", default.service),
        teams: teams.unwrap_or(default.teams),
        ..Plan::default()
    }
}

fn trace_lines(records: &[Record]) -> String {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record).unwrap_or_default());
        text.push('\n');
    }
    text
}

fn compare_files(files: &[PathBuf]) -> Result<ExitCode, LoadError> {
    let reports = files.iter().map(read_report).collect::<Result<Vec<Report>, LoadError>>()?;
    let verdict = compare(&reports[0], &reports[1], Allowances::default());
    let _ = writeln!(io::stdout(), "{verdict}");
    Ok(match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Worse(_) => ExitCode::FAILURE,
        Verdict::NotComparable => ExitCode::from(2),
    })
}

fn read_report(path: &PathBuf) -> Result<Report, LoadError> {
    let text = fs::read_to_string(path).map_err(|error| LoadError::File(path.clone(), error))?;
    serde_json::from_str(&text).map_err(|error| LoadError::Report(path.clone(), error))
}

fn write_file(path: &str, text: &str) -> Result<(), LoadError> {
    fs::write(path, text).map_err(|error| LoadError::File(PathBuf::from(path), error))
}
