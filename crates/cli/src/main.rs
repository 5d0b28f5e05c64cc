//! The `bulrush` command-line tool: operators' commands, a demo and a load generator.

mod account;
mod chain;
mod changes;
mod commands;
mod demo;
mod error;
mod evidence;
mod exit;
mod load;
mod output;
mod remote;
mod rollouts;

use std::process::ExitCode;

use clap::{Command, crate_version};

use crate::exit::ExitStatus;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", args)) => demo::run(args),
        Some(("load", args)) => load::run_command(args),
        Some((name, args)) => commands::run(name, args).into(),
        None => ExitStatus::Usage.into(),
    }
}

fn command() -> Command {
    let codes = ExitStatus::ALL.map(|(status, meaning)| format!("  {}  {meaning}", status.code()));
    Command::new("bulrush")
        .about("Operates bulrushhall deployments")
        .version(crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(format!("Exit codes:\n{}", codes.join("\n")))
        .subcommand(demo::command())
        .subcommand(load::command())
        .subcommands(commands::all())
}
