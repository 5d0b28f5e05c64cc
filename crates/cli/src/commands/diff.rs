//! `bulrush diff`: shows what applying a configuration would change.

use clap::{ArgMatches, Command};
use serde_json::json;

use crate::{
    chain, changes,
    commands::{file_arg, read_deployment, read_file},
    error::CliError,
    exit::ExitStatus,
    output::Output,
    remote::{key_value, key_value_arg},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what applying a configuration would change")
        .arg(file_arg())
        .arg(key_value_arg())
}

/// Compares the file with the newest revision; the exit code says whether they differ.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let (file, text) = read_file(args)?;
    let after = read_deployment(&file, &text)?;
    let kv = key_value(args)?;
    let newest = chain::newest(&*kv).await?;
    let before = read_deployment(&format!("revision {}", newest.revision), &newest.text)?;
    let changes = changes::changes(&before, &after);
    let value = json!({ "revision": newest.revision, "changes": changes });
    let mut text = changes::to_text(&changes);
    if changes.is_empty() {
        text = format!("no differences from revision {}", newest.revision);
    }
    out.print(&value, &text)?;
    Ok(if changes.is_empty() { ExitStatus::Done } else { ExitStatus::Different })
}
