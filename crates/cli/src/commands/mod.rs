//! The operators' commands, one per file.

mod account;
mod apply;
mod check;
mod completions;
mod diff;
mod drain;
mod parts;
mod requests;
mod rollout;
mod show;
mod status;

use std::{
    io::Read,
    path::{Path, PathBuf},
};

use bulrushhall_core::{CoreError, Deployment, config::parse_deployment};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Format, Output},
};

/// Returns the descriptions of all commands.
pub fn all() -> [Command; 11] {
    let commands = [
        check::command(),
        apply::command(),
        show::command(),
        diff::command(),
        status::command(),
        drain::command(),
        requests::command(),
        parts::command(),
        rollout::command(),
        account::command(),
        completions::command(),
    ];
    commands.map(|command| command.arg(json_arg().global(true)))
}

/// Runs the command with the given name.
pub fn run(name: &str, args: &ArgMatches) -> ExitStatus {
    let format = if args.get_flag("json") { Format::Json } else { Format::Human };
    let out = Output { format };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(name, args, &out)),
        Err(cause) => Err(CliError::Start(cause)),
    };
    result.unwrap_or_else(|error| {
        out.print_error(&error);
        error.exit_status()
    })
}

async fn dispatch(name: &str, args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    match name {
        "check" => check::run(args, out),
        "apply" => apply::run(args, out).await,
        "show" => show::run(args, out).await,
        "diff" => diff::run(args, out).await,
        "status" => status::run(args, out).await,
        "drain" => drain::run(args, out).await,
        "requests" => requests::run(args, out).await,
        "parts" => parts::run(args, out).await,
        "rollout" => rollout::run(args, out).await,
        "account" => account::run(args, out),
        "completions" => completions::run(args),
        _ => Ok(ExitStatus::Usage),
    }
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print JSON instead of human-readable text")
        .action(ArgAction::SetTrue)
}

/// Returns the argument for the path of a configuration.
pub(crate) fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("The configuration in INI format; - reads standard input")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Returns the path and contents of the file that the arguments name.
pub(crate) fn read_file(args: &ArgMatches) -> Result<(String, String), CliError> {
    let standard_input = PathBuf::from("-");
    let file = args.get_one::<PathBuf>("file").unwrap_or(&standard_input);
    let read_error = |cause| CliError::Read { file: file.clone(), cause };
    if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(read_error)?;
        return Ok(("(standard input)".to_owned(), text));
    }
    let text = std::fs::read_to_string(file).map_err(read_error)?;
    Ok((file.display().to_string(), text))
}

/// Parses a configuration; `file` is the name that its problems are reported under.
pub(crate) fn read_deployment(file: &str, text: &str) -> Result<Deployment, CliError> {
    parse_deployment(file, text).map_err(invalid)
}

/// Returns the command's error for a configuration or settings file that does not parse.
pub(crate) fn invalid(error: CoreError) -> CliError {
    match error {
        CoreError::Config(problems) => CliError::Invalid(problems),
        other => CliError::Refused(other.to_string()),
    }
}
