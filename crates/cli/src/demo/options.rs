//! The arguments of `bulrush demo`.

use std::time::Duration;

use bulrushhall_bench::TestbedOptions;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The number of nodes.
const NODES: usize = 5;
/// The number of engines, three in each of the four availability zones.
const ENGINES: usize = 12;
/// The number of backend servers of the plain service.
const SERVICES: usize = 4;
/// The default duration of the load, in seconds.
const DEFAULT_SECONDS: u64 = 30;
/// The minimum duration of the load, in seconds: two reclaims and a planned stop must fit in.
const MIN_SECONDS: u64 = 15;

/// `DemoOptions` are the parsed arguments of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The seed of the load.
    pub seed: u64,
    /// The duration of the load, or the time that a served deployment stays up.
    pub length: Option<Duration>,
    /// Whether to print the result as one JSON object.
    pub json: bool,
    /// Whether to keep the deployment up for use by others, without load or faults of the demo.
    pub serve: bool,
}

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a deployment with stand-ins in one process while two zones are reclaimed")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print the result as one JSON object in the last line")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the arrivals and texts")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Duration of the load, or the time that --serve stays up")
                .value_parser(value_parser!(u64).range(1..=3_600)),
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .help("Stay up until SIGINT and print the addresses in one line, `ready {json}`")
                .action(ArgAction::SetTrue),
        )
}

impl DemoOptions {
    /// Returns the options of the deployment.
    pub fn testbed(&self) -> TestbedOptions {
        TestbedOptions {
            nodes: NODES,
            engines: ENGINES,
            services: SERVICES,
            ..TestbedOptions::default()
        }
    }

    /// Returns the duration of the load.
    pub fn load_length(&self) -> Duration {
        let minimum = Duration::from_secs(MIN_SECONDS);
        self.length.unwrap_or(Duration::from_secs(DEFAULT_SECONDS)).max(minimum)
    }
}

impl From<&ArgMatches> for DemoOptions {
    fn from(args: &ArgMatches) -> Self {
        DemoOptions {
            seed: args.get_one("seed").copied().unwrap_or(1),
            length: args.get_one("seconds").copied().map(Duration::from_secs),
            json: args.get_flag("json"),
            serve: args.get_flag("serve"),
        }
    }
}
