//! `bulrush completions`: shell completion scripts.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

use crate::{error::CliError, exit::ExitStatus};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("completions").about("Prints the completion script for a shell").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .help("The shell to complete for")
            .required(true)
            .value_parser(value_parser!(Shell)),
    )
}

/// Prints the completion script for the shell that the arguments name.
pub fn run(args: &ArgMatches) -> Result<ExitStatus, CliError> {
    let Some(shell) = args.get_one::<Shell>("shell") else { return Ok(ExitStatus::Usage) };
    generate(*shell, &mut crate::command(), "bulrush", &mut io::stdout().lock());
    Ok(ExitStatus::Done)
}
