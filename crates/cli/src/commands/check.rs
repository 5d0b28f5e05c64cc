//! `bulrush check`: reports all problems of a configuration or of a node's settings.

use bulrushhall_daemon::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::json;

use crate::{
    commands::{file_arg, invalid, read_deployment, read_file},
    error::CliError,
    exit::ExitStatus,
    output::Output,
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("check")
        .about("Reports all problems of a configuration, without applying it")
        .arg(file_arg())
        .arg(
            Arg::new("settings")
                .long("settings")
                .help("Check a node's settings file instead of a configuration")
                .action(ArgAction::SetTrue),
        )
}

/// Checks a configuration or a settings file.
pub fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let (file, text) = read_file(args)?;
    if args.get_flag("settings") {
        let settings = Settings::parse(&file, &text).map_err(invalid)?;
        let name = &settings.node.name;
        let value = json!({ "file": file, "node": name });
        out.print(&value, &format!("{file}: well-formed settings of node {name}"))?;
        return Ok(ExitStatus::Done);
    }
    let deployment = read_deployment(&file, &text)?;
    let counts = [
        ("services", deployment.services.len()),
        ("models", deployment.models.len()),
        ("classes", deployment.classes.len()),
        ("teams", deployment.teams.len()),
        ("zones", deployment.zones.len()),
    ];
    let parts: Vec<String> = counts.iter().map(|(kind, count)| format!("{count} {kind}")).collect();
    let value = json!({
        "file": file,
        "services": deployment.services.len(),
        "models": deployment.models.len(),
        "classes": deployment.classes.len(),
        "teams": deployment.teams.len(),
        "zones": deployment.zones.len(),
    });
    out.print(&value, &format!("{file}: well-formed, {}", parts.join(", ")))?;
    Ok(ExitStatus::Done)
}
