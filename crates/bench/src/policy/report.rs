//! The report: tables and plots over setups, scenarios and seeds.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write as _,
    fs,
    path::PathBuf,
    sync::{Mutex, PoisonError},
    thread,
};

use bulrushhall_policy::PlacementRegistry;

use crate::policy::{
    DeploymentSpec, Fleet, Outcome, Recovery, Scenario, Setup, Summary, bars, lines, run,
};

/// The scenarios in which placements are compared.
const COMPARED: [Scenario; 2] = [Scenario::CalmDay, Scenario::Burst];
/// The scenarios in which recoveries are compared.
const RECLAIMS: [Scenario; 2] = [Scenario::OneZone, Scenario::ThreeZones];
/// The weights of recomputed tokens in the trade-off.
const WEIGHTS: [f64; 4] = [0.0, 0.25, 0.5, 4.0];

/// `ReportOptions` tell what is run and where the report goes.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// The directory that the report is written to.
    pub directory: PathBuf,
    /// The seeds of the planned fleet's runs.
    pub seeds: Vec<u64>,
    /// The number of seeds, from the first on, that comparisons are run with.
    pub compared_seeds: usize,
    /// The threads that run at once.
    pub threads: usize,
}

/// One line of a table: a setup in a deployment under a scenario, over some seeds.
#[derive(Clone, Debug)]
struct Job {
    spec: DeploymentSpec,
    setup: Setup,
    scenario: Scenario,
    seeds: Vec<u64>,
}

/// What jobs came to, by their names.
type Results = BTreeMap<String, Summary>;

impl Default for ReportOptions {
    fn default() -> Self {
        ReportOptions {
            directory: PathBuf::from("docs/reports"),
            seeds: (101..=108).collect(),
            compared_seeds: 4,
            threads: 6,
        }
    }
}

/// Runs everything and writes `policy.md` and its plots.
pub fn write_report(options: &ReportOptions) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(&options.directory)?;
    let specs = [DeploymentSpec::guild(), DeploymentSpec::hrafnsdottir()];
    let mut jobs = Vec::new();
    for spec in &specs {
        jobs.extend(jobs_of(spec, options));
    }
    let results = run_all(jobs, options.threads);

    let mut text = introduction(options);
    for spec in &specs {
        section(&mut text, spec, &results)?;
        plots(options, spec, &results)?;
    }
    fs::write(options.directory.join("policy.md"), text)?;
    Ok(())
}

fn jobs_of(spec: &DeploymentSpec, options: &ReportOptions) -> Vec<Job> {
    let few: Vec<u64> = options.seeds.iter().copied().take(options.compared_seeds).collect();
    let mut jobs = Vec::new();
    let mut add = |spec: &DeploymentSpec, setup, scenario, seeds: &Vec<u64>| {
        jobs.push(Job { spec: spec.clone(), setup, scenario, seeds: seeds.clone() });
    };
    for scenario in Scenario::ALL {
        add(spec, Setup::default(), scenario, &options.seeds);
    }
    let on_demand = Setup { fleet: Fleet::OnDemand, ..Setup::default() };
    add(spec, on_demand, Scenario::CalmDay, &options.seeds);
    for descriptor in PlacementRegistry::default().descriptors() {
        for scenario in COMPARED {
            if descriptor.name != Setup::default().placement {
                let setup = Setup { placement: descriptor.name, ..Setup::default() };
                add(spec, setup, scenario, &few);
            }
        }
    }
    for scenario in RECLAIMS {
        let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
        add(spec, setup, scenario, &options.seeds);
    }
    for weight in WEIGHTS {
        let weighed = DeploymentSpec { recomputed: weight, ..spec.clone() };
        add(&weighed, Setup::default(), Scenario::OneZone, &few);
    }
    jobs
}

fn run_all(jobs: Vec<Job>, threads: usize) -> Results {
    let queue = Mutex::new(jobs);
    let results = Mutex::new(Results::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let job = queue.lock().unwrap_or_else(PoisonError::into_inner).pop();
                    let Some(job) = job else { return };
                    let summary = run_job(&job);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.insert(key(&job.spec, job.setup, job.scenario), summary);
                }
            });
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_job(job: &Job) -> Summary {
    let mut total = Outcome::default();
    for &seed in &job.seeds {
        total.add(&run(&job.spec, job.setup, job.scenario, seed));
    }
    total.summary(job.seeds.len())
}

fn key(spec: &DeploymentSpec, setup: Setup, scenario: Scenario) -> String {
    format!("{} {} {setup:?} {scenario:?}", spec.name, spec.recomputed)
}

fn introduction(options: &ReportOptions) -> String {
    let few = &options.seeds[..options.compared_seeds.min(options.seeds.len())];
    format!(
        "# Policy under load and faults\n\n\
         Written by `cargo run --release --bin policy_report`. Virtual time, stand-in engines with \
         one engine a worker, 5 nodes, 120 s of arrivals and 150 s in all; the first fault comes \
         at 50 s with a notice of 5 s. Prices: 4.00 an hour on demand, 1.00 to 1.45 reclaimable. \
         Seeds {:?}; comparisons of placements and weights on {few:?}. Tuning used seeds 1 to 8 \
         only. `p95` figures are of urgent requests from the first fault on. Cost is of the VMs, \
         in cents for 1,000 requests that finished, urgent ones only if their first token came \
         within 1.9 s.\n",
        options.seeds
    )
}

fn section(text: &mut String, spec: &DeploymentSpec, results: &Results) -> std::fmt::Result {
    let on_demand = Setup { fleet: Fleet::OnDemand, ..Setup::default() };
    let Some(dear) = results.get(&key(spec, on_demand, Scenario::CalmDay)) else { return Ok(()) };
    writeln!(text, "\n## {}\n\n### Scenarios\n", spec.name)?;
    header(text)?;
    row(text, "all on demand, calm day", dear, dear)?;
    for scenario in Scenario::ALL {
        let found = results.get(&key(spec, Setup::default(), scenario));
        let Some(summary) = found else { continue };
        row(text, scenario.name(), summary, dear)?;
    }
    for scenario in COMPARED {
        writeln!(text, "\n### Placements: {}\n", scenario.name())?;
        header(text)?;
        for descriptor in PlacementRegistry::default().descriptors() {
            let setup = Setup { placement: descriptor.name, ..Setup::default() };
            let Some(summary) = results.get(&key(spec, setup, scenario)) else { continue };
            row(text, descriptor.name, summary, dear)?;
        }
    }
    writeln!(text, "\n### Recomputed tokens after reclaims\n")?;
    writeln!(text, "| scenario | restart from the prompt | moved and resumed | part |")?;
    writeln!(text, "|---|---|---|---|")?;
    for scenario in RECLAIMS {
        let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
        let restart = results.get(&key(spec, setup, scenario));
        let moved = results.get(&key(spec, Setup::default(), scenario));
        let (Some(restart), Some(moved)) = (restart, moved) else { continue };
        let (restart, moved) = (restart.recomputed, moved.recomputed);
        let part = 100.0 * moved / restart.max(1.0);
        let name = scenario.name();
        writeln!(text, "| {name} | {restart:.0} | {moved:.0} | {part:.0}% |")?;
    }
    writeln!(text, "\n### Weight of recomputed tokens, one zone reclaimed\n")?;
    writeln!(text, "| weight | recomputed tokens | cost | first token p95 |\n|---|---|---|---|")?;
    for (weight, summary) in trade_off(spec, results) {
        let Summary { recomputed, cost_per_thousand, first_token_p95, .. } = summary;
        writeln!(
            text,
            "| {weight} | {recomputed:.0} | {cost_per_thousand:.2} | {first_token_p95:.0} ms |"
        )?;
    }
    Ok(())
}

fn trade_off(spec: &DeploymentSpec, results: &Results) -> Vec<(f64, Summary)> {
    let mut found = Vec::new();
    for weight in WEIGHTS {
        let weighed = DeploymentSpec { recomputed: weight, ..spec.clone() };
        let key = key(&weighed, Setup::default(), Scenario::OneZone);
        found.extend(results.get(&key).map(|summary| (weight, *summary)));
    }
    found
}

fn header(text: &mut String) -> std::fmt::Result {
    writeln!(
        text,
        "| run | cost | of all on demand | first token p95 | between tokens p95 | urgent in time \
         | worst small team | refused | expired | recomputed | on-demand hours |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|---|---|---|")
}

fn row(text: &mut String, name: &str, one: &Summary, dear: &Summary) -> std::fmt::Result {
    writeln!(
        text,
        "| {name} | {:.2} | {:.0}% | {:.0} ms | {:.1} ms | {:.1}% | {:.1}% | {:.1}% | {} | {:.0} \
         | {:.2} |",
        one.cost_per_thousand,
        100.0 * one.cost_per_thousand / dear.cost_per_thousand,
        one.first_token_p95,
        one.gap_p95,
        100.0 * one.in_time,
        100.0 * one.small_in_time,
        100.0 * one.refused,
        one.expired,
        one.recomputed,
        one.on_demand_hours,
    )
}

fn plots(
    options: &ReportOptions,
    spec: &DeploymentSpec,
    results: &Results,
) -> Result<(), Box<dyn Error>> {
    let file = |plot: &str| {
        let name: String = spec.name.chars().filter(char::is_ascii_alphabetic).collect();
        options.directory.join(format!("policy-{}-{plot}.svg", name.to_lowercase()))
    };
    let mut costs = Vec::new();
    for scenario in Scenario::ALL {
        let Some(found) = results.get(&key(spec, Setup::default(), scenario)) else { continue };
        costs.push((scenario.name().to_owned(), found.cost_per_thousand));
    }
    let title = format!("{}: cost of 1,000 requests in time", spec.name);
    bars(&file("cost"), &title, "cents", &costs)?;

    let mut waits = Vec::new();
    for descriptor in PlacementRegistry::default().descriptors() {
        let setup = Setup { placement: descriptor.name, ..Setup::default() };
        let Some(found) = results.get(&key(spec, setup, Scenario::Burst)) else { continue };
        waits.push((descriptor.name.to_owned(), found.first_token_p95));
    }
    let title = format!("{}: first token p95 in a burst", spec.name);
    bars(&file("burst"), &title, "ms", &waits)?;

    let curve = trade_off(spec, results);
    let points = curve.iter().map(|(weight, summary)| (*weight, summary.recomputed)).collect();
    let title = format!("{}: recomputed tokens by their weight", spec.name);
    let series = [("one zone reclaimed".to_owned(), points)];
    lines(&file("weights"), &title, ("weight", "tokens"), &series)
}
