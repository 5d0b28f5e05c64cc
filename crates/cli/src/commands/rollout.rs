//! `bulrush rollout`: orders, shows and aborts roll-outs of versions on nodes that serve routes.

use std::{net::SocketAddr, str::FromStr};

use bulrushhall_coord::rollouts::RolloutOrder;
use bulrushhall_core::ServiceName;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::{
    error::CliError,
    evidence::{Evidence, evidence},
    exit::ExitStatus,
    output::{Output, table},
    remote::key_value_arg,
    rollouts::{Replace, RolloutEntry, RolloutStore},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    let subcommands = [list_command(), show_command(), order_command(), abort_command()];
    Command::new("rollout")
        .about("Orders, shows and aborts roll-outs of versions")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(key_value_arg().global(true))
        .subcommands(subcommands)
}

fn list_command() -> Command {
    Command::new("list").about("Lists the orders with their states")
}

fn show_command() -> Command {
    Command::new("show")
        .about("Prints the roll-out of a service, with the evidence so far")
        .arg(service_arg())
        .arg(
            Arg::new("metrics")
                .long("metrics")
                .value_name("ADDRESS")
                .env("BULRUSH_METRICS")
                .help("The metrics port of a node; the holder of the duties has the evidence")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
}

fn order_command() -> Command {
    Command::new("order")
        .about("Orders that a service is moved to another version")
        .arg(service_arg())
        .arg(Arg::new("target").value_name("VERSION").help("The target version").required(true))
        .arg(
            Arg::new("within")
                .long("within")
                .value_name("TIME")
                .help("The time within which the version is to serve, such as 90s")
                .required(true)
                .value_parser(humantime::Duration::from_str),
        )
        .arg(
            Arg::new("replace")
                .long("replace")
                .help("Replace an order whose roll-out is in progress")
                .action(ArgAction::SetTrue),
        )
}

fn abort_command() -> Command {
    Command::new("abort")
        .about("Removes the order for a service; a roll-out in progress is reverted")
        .arg(service_arg())
}

fn service_arg() -> Arg {
    Arg::new("service")
        .value_name("SERVICE")
        .help("The service")
        .required(true)
        .value_parser(value_parser!(ServiceName))
}

/// Runs the given subcommand.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let address = args.get_one::<SocketAddr>("key-value").ok_or(CliError::NoKeyValueAddress)?;
    let store = RolloutStore::new(*address);
    match args.subcommand() {
        Some(("list", _)) => list(&store, out).await?,
        Some(("show", args)) => show(&store, args, out).await?,
        Some(("order", args)) => order(&store, args, out).await?,
        Some(("abort", args)) => abort(&store, args, out).await?,
        _ => return Ok(ExitStatus::Usage),
    }
    Ok(ExitStatus::Done)
}

async fn list(store: &RolloutStore, out: &Output) -> Result<(), CliError> {
    let entries = store.list().await?;
    let rows = entries.iter().map(|entry| {
        vec![
            entry.service.to_string(),
            entry.target.clone(),
            format!("{}s", entry.within_s),
            state_text(entry).to_owned(),
        ]
    });
    out.print(&entries, &table(&["SERVICE", "TARGET", "WITHIN", "STATE"], rows))
}

async fn show(store: &RolloutStore, args: &ArgMatches, out: &Output) -> Result<(), CliError> {
    let Some(service) = args.get_one::<ServiceName>("service") else { return Ok(()) };
    let entry = store.get(service).await?;
    let pages: Vec<SocketAddr> = args.get_many("metrics").into_iter().flatten().copied().collect();
    let evidence = evidence(&pages, service).await?;
    let text = show_text(&entry, evidence);
    out.print(&json!({ "rollout": entry, "evidence": evidence }), &text)
}

fn show_text(entry: &RolloutEntry, evidence: Option<Evidence>) -> String {
    let RolloutEntry { service, target, within_s, .. } = entry;
    let state = state_text(entry);
    let mut text = format!("{service} to {target} within {within_s}s: {state}\n");
    let Some(Evidence { share, current, target }) = evidence else { return text };
    text.push_str(&format!("share of the target version: {share:.3}\n"));
    for (version, answers) in [("current", current), ("target", target)] {
        text.push_str(&format!(
            "{version} version: {} answers, {} bad\n",
            answers.all, answers.bad
        ));
    }
    text
}

fn state_text(entry: &RolloutEntry) -> &'static str {
    entry.state.unwrap_or("ordered")
}

async fn order(store: &RolloutStore, args: &ArgMatches, out: &Output) -> Result<(), CliError> {
    let (Some(service), Some(target), Some(within)) = (
        args.get_one::<ServiceName>("service"),
        args.get_one::<String>("target"),
        args.get_one::<humantime::Duration>("within"),
    ) else {
        return Ok(());
    };
    let replace = if args.get_flag("replace") { Replace::Yes } else { Replace::No };
    let order = RolloutOrder { target: target.clone(), duration: (*within).into() };
    store.write(service, &order, replace).await?;
    let value = json!({ "service": service, "target": target, "within_s": within.as_secs_f64() });
    out.print(&value, &format!("ordered {target} for {service} within {within}"))
}

async fn abort(store: &RolloutStore, args: &ArgMatches, out: &Output) -> Result<(), CliError> {
    let Some(service) = args.get_one::<ServiceName>("service") else { return Ok(()) };
    store.remove(service).await?;
    out.print(&json!({ "service": service }), &format!("the order for {service} was removed"))
}
