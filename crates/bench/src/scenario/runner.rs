//! The commands of scenario scripts.

use std::{error::Error, io, str::FromStr, time::Duration};

use bulrushhall_core::Revision;
use bulrushhall_standin::switches::Faults;
use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use tokio::{runtime::Runtime, time::sleep};

use crate::{
    TestbedOptions,
    check::Violation,
    load::{Mix, Plan},
    scenario::{Environment, ScenarioError, environment::summarize_violations},
};

/// A `ScenarioRunner` executes the commands of one script.
pub struct ScenarioRunner {
    runtime: Runtime,
    environment: Option<Environment>,
    last_applied: Revision,
    violations: Vec<Violation>,
}

type Args<'a> = ArgumentConsumer<'a>;

impl ScenarioRunner {
    /// Returns a runner without a deployment; the script's `start` command starts one.
    pub fn new() -> io::Result<ScenarioRunner> {
        let runtime = Runtime::new()?;
        Ok(ScenarioRunner {
            runtime,
            environment: None,
            last_applied: Revision(0),
            violations: Vec::new(),
        })
    }

    /// Returns all violations found so far, in full; the script's output holds only their counts.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn execute(&mut self, name: &str, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        if name == "start" {
            return self.start(args);
        }
        let environment = self.environment.as_mut().ok_or(ScenarioError::NotFound("deployment"))?;
        let runtime = &self.runtime;
        match name {
            "wait" => {
                let pause = duration_ms(args, "ms", 0)?;
                runtime.block_on(async { sleep(pause).await });
                Ok(String::new())
            }
            "load" => {
                let plan = parse_plan(args)?;
                runtime.block_on(async { environment.start_load(plan) })?;
                Ok("sending".to_owned())
            }
            "kv" => {
                environment.set_kv(parse_faults(args)?);
                Ok(String::new())
            }
            "service" => {
                let index: usize = positional(args, "number")?;
                let service = environment.testbed.services.get(index);
                service
                    .ok_or(ScenarioError::NotFound("service"))?
                    .switches()
                    .set(parse_faults(args)?);
                Ok(String::new())
            }
            "engine" => {
                let index: usize = positional(args, "number")?;
                let engine = environment.testbed.engines.get(index);
                let engine = engine.ok_or(ScenarioError::NotFound("engine"))?;
                match args.next_pos() {
                    Some("kill") => engine.kill(),
                    _ => engine.switches().set(parse_faults(args)?),
                }
                Ok(String::new())
            }
            "node" => run_node_command(runtime, environment, args),
            "reclaim" => {
                let zone = args.take_key("zone").ok_or(ScenarioError::Missing("zone"))?.to_owned();
                let notice = duration_ms(args, "notice", 2_000)?;
                let count = runtime.block_on(async { environment.reclaim(&zone, notice) });
                Ok(format!("{count} VMs leave"))
            }
            "refuse" => {
                let zones = args.take_key("zones").unwrap_or_default();
                environment.testbed.refuse_in(&zones.split(',').collect::<Vec<&str>>());
                Ok(String::new())
            }
            "apply" => {
                let class = args.take_key("class").ok_or(ScenarioError::Missing("class"))?;
                self.last_applied = runtime.block_on(environment.apply(class))?;
                Ok("accepted".to_owned())
            }
            "config" => {
                runtime.block_on(environment.wait_for_config(self.last_applied))?;
                Ok("in force everywhere".to_owned())
            }
            "members" => {
                let alive = runtime.block_on(environment.wait_for_members())?;
                Ok(format!("{alive} nodes know each other"))
            }
            "leaving" => {
                let zone = args.take_key("zone").ok_or(ScenarioError::Missing("zone"))?;
                let (grace, length) =
                    (duration_ms(args, "grace", 3_000)?, duration_ms(args, "for", 1_000)?);
                let broken = runtime.block_on(environment.judge_leaving(zone, grace, length))?;
                Ok(self.report(broken))
            }
            "settle" => {
                let (sent, unfinished) = runtime.block_on(environment.wait_for_load())?;
                let unfinished: Vec<String> = unfinished
                    .iter()
                    .map(|(outcome, count)| format!("{outcome:?} {count}"))
                    .collect();
                Ok(match unfinished.as_slice() {
                    [] => format!("{sent} requests, all finished"),
                    _ => format!("{sent} requests, not finished: {}", unfinished.join(", ")),
                })
            }
            "settle-accepted" => {
                // How many requests are refused depends on timing, so no counts are printed. What
                // becomes of accepted requests does not, and `judge` checks it.
                runtime.block_on(environment.wait_for_load())?;
                Ok("ended".to_owned())
            }
            "judge" => {
                let broken = environment.judge();
                Ok(self.report(broken))
            }
            "judge-stops" => {
                let broken = environment.judge_stops();
                Ok(self.report(broken))
            }
            _ => Err(ScenarioError::UnknownCommand(name.to_owned())),
        }
    }

    fn start(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let options = TestbedOptions {
            nodes: keyed(args, "nodes", 5)?,
            engines: keyed(args, "engines", 4)?,
            services: keyed(args, "services", 2)?,
            ..TestbedOptions::default()
        };
        let environment = self.runtime.block_on(Environment::start(options))?;
        let nodes = environment.alive().len();
        self.environment = Some(environment);
        Ok(format!("{nodes} nodes know each other"))
    }

    fn report(&mut self, broken: Vec<Violation>) -> String {
        let report = summarize_violations(&broken);
        self.violations.extend(broken);
        report
    }
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _cx: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let output = self.execute(&command.name, &mut args)?;
        args.reject_next()?;
        Ok(output)
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        // The tasks of the simulated servers belong to the runtime, so the testbed is dropped
        // inside it.
        let environment = self.environment.take();
        self.runtime.block_on(async { drop(environment) });
        Ok(())
    }
}

fn run_node_command(
    runtime: &Runtime,
    environment: &mut Environment,
    args: &mut Args<'_>,
) -> Result<String, ScenarioError> {
    let target = args.next_pos().ok_or(ScenarioError::Missing("number"))?;
    if target == "add" {
        runtime.block_on(environment.add_node())?;
        return Ok(String::new());
    }
    let index: usize = parse("number", target)?;
    let node = environment.testbed.nodes.get(index).ok_or(ScenarioError::NotFound("node"))?;
    match args.next_pos() {
        Some("kill") => node.kill(),
        Some("stop") => runtime.block_on(node.stop()),
        action => {
            return Err(ScenarioError::Malformed("action", action.unwrap_or_default().to_owned()));
        }
    }
    Ok(String::new())
}

fn parse_plan(args: &mut Args<'_>) -> Result<Plan, ScenarioError> {
    let mix: Mix = parse("mix", args.take_key("mix").unwrap_or("guild"))?;
    Ok(Plan {
        mix,
        rate: keyed(args, "rate", 20.0)?,
        length: duration_ms(args, "for", 3_000)?,
        requests: keyed(args, "requests", 500)?,
        seed: keyed(args, "seed", 1)?,
        warm_up: Duration::ZERO,
        idle_timeout: Duration::from_secs(4),
        time_limit: Duration::from_secs(40),
        retries: keyed(args, "retries", 20)?,
        ..Plan::default()
    })
}

fn parse_faults(args: &mut Args<'_>) -> Result<Faults, ScenarioError> {
    let mut faults = Faults::default();
    while let Some(word) = args.next_pos() {
        match word {
            "ok" => faults = Faults::default(),
            "outage" => faults.outage = true,
            "frozen" => faults.frozen = true,
            _ => return Err(ScenarioError::Malformed("fault", word.to_owned())),
        }
    }
    faults.slow_ms = keyed(args, "slow", 0)?;
    faults.lost_replies = keyed(args, "lost", 0.0)?;
    faults.late_ms = keyed(args, "late", 0)?;
    Ok(faults)
}

fn duration_ms(
    args: &mut Args<'_>,
    name: &'static str,
    default: u64,
) -> Result<Duration, ScenarioError> {
    keyed(args, name, default).map(Duration::from_millis)
}

fn keyed<T: FromStr>(
    args: &mut Args<'_>,
    name: &'static str,
    default: T,
) -> Result<T, ScenarioError> {
    args.take_key(name).map_or(Ok(default), |text| parse(name, text))
}

fn positional<T: FromStr>(args: &mut Args<'_>, name: &'static str) -> Result<T, ScenarioError> {
    parse(name, args.next_pos().ok_or(ScenarioError::Missing(name))?)
}

fn parse<T: FromStr>(name: &'static str, text: &str) -> Result<T, ScenarioError> {
    text.parse().map_err(|_| ScenarioError::Malformed(name, text.to_owned()))
}
