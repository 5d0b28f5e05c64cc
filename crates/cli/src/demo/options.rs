//! The arguments of `bulrush demo`.

use std::time::Duration;

use bulrushhall_bench::TestbedOptions;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The nodes of the demo.
const NODES: usize = 5;
/// The engines of the demo, three in each of the four availability zones.
const ENGINES: usize = 12;
/// The backend servers of the plain service.
const SERVICES: usize = 4;
/// How long the demo sends requests unless told otherwise.
const SECONDS: u64 = 30;
/// The shortest demo: two reclaims and a planned stop must fit in.
const SECONDS_MIN: u64 = 15;

/// `DemoOptions` tell what the demo does.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The seed of the load.
    pub seed: u64,
    /// How long requests are sent, or how long the deployment stays up.
    pub length: Option<Duration>,
    /// Whether the result is one JSON object.
    pub json: bool,
    /// Whether the deployment only stays up for others to use.
    pub serve: bool,
}

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a deployment with stand-ins in one process, through reclaims of two zones")
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the result as one JSON object in the last line")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("The seed of arrivals and texts")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("How long requests are sent, or how long --serve stays up")
                .value_parser(value_parser!(u64).range(1..=3_600)),
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .help("Stays up until SIGINT and prints the addresses in one line `ready {json}`")
                .action(ArgAction::SetTrue),
        )
}

impl DemoOptions {
    /// Returns the size of the deployment.
    pub fn testbed(&self) -> TestbedOptions {
        TestbedOptions {
            nodes: NODES,
            engines: ENGINES,
            services: SERVICES,
            ..TestbedOptions::default()
        }
    }

    /// Returns how long requests are sent.
    pub fn load_length(&self) -> Duration {
        let shortest = Duration::from_secs(SECONDS_MIN);
        self.length.unwrap_or(Duration::from_secs(SECONDS)).max(shortest)
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
