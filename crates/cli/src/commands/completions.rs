//! `bulrush completions`: completion scripts for shells.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::{error::CliError, exit::ExitStatus};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("completions").about("Prints the completion script of a shell").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .help("The shell")
            .required(true)
            .value_parser(value_parser!(Shell)),
    )
}

/// Prints the script.
pub fn run(args: &ArgMatches) -> Result<ExitStatus, CliError> {
    let Some(shell) = args.get_one::<Shell>("shell") else { return Ok(ExitStatus::Usage) };
    generate(*shell, &mut crate::command(), "bulrush", &mut io::stdout().lock());
    Ok(ExitStatus::Done)
}
