//! The operator's and newcomer's command-line tool.

mod demo;
mod load;

use std::process::ExitCode;

use clap::{Command, crate_version};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", args)) => demo::run(args),
        Some(("load", args)) => load::run_command(args),
        _ => ExitCode::from(2),
    }
}

fn command() -> Command {
    Command::new("bulrush")
        .about("Operates bulrushhall deployments")
        .version(crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(load::command())
}
