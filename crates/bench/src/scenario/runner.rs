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

/// A `ScenarioRunner` carries out one script.
pub struct ScenarioRunner {
    runtime: Runtime,
    environment: Option<Environment>,
    applied: Revision,
    details: Vec<Violation>,
}

type Args<'a> = ArgumentConsumer<'a>;

impl ScenarioRunner {
    /// Returns a runner that has started nothing yet.
    pub fn new() -> io::Result<ScenarioRunner> {
        let runtime = Runtime::new()?;
        Ok(ScenarioRunner { runtime, environment: None, applied: Revision(0), details: Vec::new() })
    }

    /// Returns the broken promises in full, for whoever looks into a script that failed.
    pub fn details(&self) -> &[Violation] {
        &self.details
    }

    fn carry_out(&mut self, name: &str, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        if name == "start" {
            return self.start(args);
        }
        let environment = self.environment.as_mut().ok_or(ScenarioError::NotThere("deployment"))?;
        let runtime = &self.runtime;
        match name {
            "wait" => {
                let pause = millis(args, "ms", 0)?;
                runtime.block_on(async { sleep(pause).await });
                Ok(String::new())
            }
            "load" => {
                let plan = plan(args)?;
                runtime.block_on(async { environment.start_load(plan) })?;
                Ok("sending".to_owned())
            }
            "kv" => {
                environment.set_kv(faults(args)?);
                Ok(String::new())
            }
            "service" => {
                let at: usize = position(args, "number")?;
                let service = environment.testbed.services.get(at);
                service.ok_or(ScenarioError::NotThere("service"))?.switches().set(faults(args)?);
                Ok(String::new())
            }
            "engine" => {
                let at: usize = position(args, "number")?;
                let engine = environment.testbed.engines.get(at);
                let engine = engine.ok_or(ScenarioError::NotThere("engine"))?;
                match args.next_pos() {
                    Some("kill") => engine.kill(),
                    _ => engine.switches().set(faults(args)?),
                }
                Ok(String::new())
            }
            "node" => node(runtime, environment, args),
            "reclaim" => {
                let zone = args.take_key("zone").ok_or(ScenarioError::Missing("zone"))?.to_owned();
                let notice = millis(args, "notice", 2_000)?;
                let hit = runtime.block_on(async { environment.reclaim(&zone, notice) });
                Ok(format!("{hit} VMs leave"))
            }
            "refuse" => {
                let zones = args.take_key("zones").unwrap_or_default();
                environment.testbed.refuse_in(&zones.split(',').collect::<Vec<&str>>());
                Ok(String::new())
            }
            "apply" => {
                let class = args.take_key("class").ok_or(ScenarioError::Missing("class"))?;
                self.applied = runtime.block_on(environment.apply(class))?;
                Ok("accepted".to_owned())
            }
            "config" => {
                runtime.block_on(environment.wait_for_config(self.applied))?;
                Ok("in force everywhere".to_owned())
            }
            "members" => {
                let alive = runtime.block_on(environment.wait_for_members())?;
                Ok(format!("{alive} nodes know each other"))
            }
            "leaving" => {
                let zone = args.take_key("zone").ok_or(ScenarioError::Missing("zone"))?;
                let (grace, length) = (millis(args, "grace", 3_000)?, millis(args, "for", 1_000)?);
                let broken = runtime.block_on(environment.judge_leaving(zone, grace, length))?;
                Ok(self.told(broken))
            }
            "settle" => {
                let (sent, others) = runtime.block_on(environment.wait_for_load())?;
                let others: Vec<String> =
                    others.iter().map(|(outcome, count)| format!("{outcome:?} {count}")).collect();
                Ok(match others.as_slice() {
                    [] => format!("{sent} requests, all finished"),
                    _ => format!("{sent} requests, not finished: {}", others.join(", ")),
                })
            }
            "settle-accepted" => {
                // How many are refused depends on how fast things go; what was accepted does not.
                runtime.block_on(environment.wait_for_load())?;
                Ok("ended".to_owned())
            }
            "judge" => {
                let broken = environment.judge();
                Ok(self.told(broken))
            }
            "judge-stops" => {
                let broken = environment.judge_stops();
                Ok(self.told(broken))
            }
            _ => Err(ScenarioError::UnknownCommand(name.to_owned())),
        }
    }

    fn start(&mut self, args: &mut Args<'_>) -> Result<String, ScenarioError> {
        let options = TestbedOptions {
            nodes: number(args, "nodes", 5)?,
            engines: number(args, "engines", 4)?,
            services: number(args, "services", 2)?,
            ..TestbedOptions::default()
        };
        let environment = self.runtime.block_on(Environment::start(options))?;
        let nodes = environment.alive().len();
        self.environment = Some(environment);
        Ok(format!("{nodes} nodes know each other"))
    }

    fn told(&mut self, broken: Vec<Violation>) -> String {
        let told = summarize_violations(&broken);
        self.details.extend(broken);
        told
    }
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _cx: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let told = self.carry_out(&command.name, &mut args)?;
        args.reject_next()?;
        Ok(told)
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        // The tasks of the stand-ins belong to the runtime, so they end inside it.
        let environment = self.environment.take();
        self.runtime.block_on(async { drop(environment) });
        Ok(())
    }
}

fn node(
    runtime: &Runtime,
    environment: &mut Environment,
    args: &mut Args<'_>,
) -> Result<String, ScenarioError> {
    let first = args.next_pos().ok_or(ScenarioError::Missing("number"))?;
    if first == "add" {
        runtime.block_on(environment.add_node())?;
        return Ok(String::new());
    }
    let at: usize = parse("number", first)?;
    let node = environment.testbed.nodes.get(at).ok_or(ScenarioError::NotThere("node"))?;
    match args.next_pos() {
        Some("kill") => node.kill(),
        Some("stop") => runtime.block_on(node.stop()),
        other => {
            return Err(ScenarioError::Malformed("act", other.unwrap_or_default().to_owned()));
        }
    }
    Ok(String::new())
}

fn plan(args: &mut Args<'_>) -> Result<Plan, ScenarioError> {
    let mix: Mix = parse("mix", args.take_key("mix").unwrap_or("guild"))?;
    Ok(Plan {
        mix,
        rate: number(args, "rate", 20.0)?,
        length: millis(args, "for", 3_000)?,
        requests: number(args, "requests", 500)?,
        seed: number(args, "seed", 1)?,
        warm_up: Duration::ZERO,
        silence: Duration::from_secs(4),
        patience: Duration::from_secs(40),
        retries: number(args, "retries", 20)?,
        ..Plan::default()
    })
}

fn faults(args: &mut Args<'_>) -> Result<Faults, ScenarioError> {
    let mut faults = Faults::default();
    while let Some(word) = args.next_pos() {
        match word {
            "ok" => faults = Faults::default(),
            "outage" => faults.outage = true,
            "frozen" => faults.frozen = true,
            _ => return Err(ScenarioError::Malformed("fault", word.to_owned())),
        }
    }
    faults.slow_ms = number(args, "slow", 0)?;
    faults.lost_replies = number(args, "lost", 0.0)?;
    faults.late_ms = number(args, "late", 0)?;
    Ok(faults)
}

fn millis(
    args: &mut Args<'_>,
    name: &'static str,
    default: u64,
) -> Result<Duration, ScenarioError> {
    number(args, name, default).map(Duration::from_millis)
}

fn number<T: FromStr>(
    args: &mut Args<'_>,
    name: &'static str,
    default: T,
) -> Result<T, ScenarioError> {
    args.take_key(name).map_or(Ok(default), |text| parse(name, text))
}

fn position<T: FromStr>(args: &mut Args<'_>, name: &'static str) -> Result<T, ScenarioError> {
    parse(name, args.next_pos().ok_or(ScenarioError::Missing(name))?)
}

fn parse<T: FromStr>(name: &'static str, text: &str) -> Result<T, ScenarioError> {
    text.parse().map_err(|_| ScenarioError::Malformed(name, text.to_owned()))
}
