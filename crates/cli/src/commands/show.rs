//! `bulrush show`: prints accepted configurations.

use bulrushhall_core::Revision;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::{
    chain,
    commands::read_deployment,
    error::CliError,
    exit::ExitStatus,
    output::Output,
    remote::{key_value, key_value_arg},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("show")
        .about("Prints the accepted configuration")
        .arg(key_value_arg())
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_name("N")
                .help("Print this revision instead of the newest")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("history")
                .long("history")
                .help("List the revisions that are still stored")
                .action(ArgAction::SetTrue)
                .conflicts_with("revision"),
        )
}

/// Prints one revision of the configuration, or the list of stored revisions.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let kv = key_value(args)?;
    if args.get_flag("history") {
        let revisions = chain::history(&*kv).await?;
        let lines: Vec<String> = revisions.iter().map(Revision::to_string).collect();
        out.print(&json!({ "revisions": revisions }), &lines.join("\n"))?;
        return Ok(ExitStatus::Done);
    }
    let head = match args.get_one::<u64>("revision") {
        Some(revision) => chain::revision(&*kv, Revision(*revision)).await?,
        None => chain::newest(&*kv).await?,
    };
    let source = format!("revision {}", head.revision);
    let deployment = read_deployment(&source, &head.text)?;
    let value =
        json!({ "revision": head.revision, "text": head.text, "configuration": deployment });
    out.print(&value, &format!("; revision {}\n{}", head.revision, head.text))?;
    Ok(ExitStatus::Done)
}
