//! The report: tables and plots that compare setups and scenarios over several seeds.

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
    DeploymentSpec, Fleet, Outcome, Recovery, Scenario, Setup, Summary, bar_chart, line_chart, run,
};

/// The scenarios in which placements are compared.
const PLACEMENT_SCENARIOS: [Scenario; 2] = [Scenario::CalmDay, Scenario::Burst];
/// The scenarios in which recoveries are compared.
const RECOVERY_SCENARIOS: [Scenario; 2] = [Scenario::OneZone, Scenario::ThreeZones];
/// The weights of recomputed tokens that the trade-off table and plot compare.
const WEIGHTS: [f64; 4] = [0.0, 0.25, 0.5, 4.0];

/// `ReportOptions` are the seeds, the parallelism and the output directory of a report.
#[derive(Clone, Debug)]
pub struct ReportOptions {
    /// The directory that the report is written to.
    pub directory: PathBuf,
    /// The seeds of the simulations of scenarios, recoveries and the on-demand fleet.
    pub seeds: Vec<u64>,
    /// The number of seeds, from the first on, for comparisons of placements and weights.
    pub compared_seeds: usize,
    /// The number of threads that run simulations.
    pub threads: usize,
}

/// A `Job` is one row of a table: the simulations of a setup and scenario with several seeds.
#[derive(Clone, Debug)]
struct Job {
    spec: DeploymentSpec,
    setup: Setup,
    scenario: Scenario,
    seeds: Vec<u64>,
}

/// The summaries of jobs by job key.
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

/// Runs all simulations and writes `policy.md` and its plots.
pub fn write_report(options: &ReportOptions) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(&options.directory)?;
    let specs = [DeploymentSpec::guild(), DeploymentSpec::hrafnsdottir()];
    let mut jobs = Vec::new();
    for spec in &specs {
        jobs.extend(plan_jobs(spec, options));
    }
    let results = run_all(jobs, options.threads);

    let mut text = introduction(options);
    for spec in &specs {
        write_section(&mut text, spec, &results)?;
        write_plots(options, spec, &results)?;
    }
    fs::write(options.directory.join("policy.md"), text)?;
    Ok(())
}

fn plan_jobs(spec: &DeploymentSpec, options: &ReportOptions) -> Vec<Job> {
    let comparison_seeds: Vec<u64> =
        options.seeds.iter().copied().take(options.compared_seeds).collect();
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
        for scenario in PLACEMENT_SCENARIOS {
            if descriptor.name != Setup::default().placement {
                let setup = Setup { placement: descriptor.name, ..Setup::default() };
                add(spec, setup, scenario, &comparison_seeds);
            }
        }
    }
    for scenario in RECOVERY_SCENARIOS {
        let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
        add(spec, setup, scenario, &options.seeds);
    }
    for weight in WEIGHTS {
        let weighted = DeploymentSpec { recomputed: weight, ..spec.clone() };
        add(&weighted, Setup::default(), Scenario::OneZone, &comparison_seeds);
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
                    results.insert(job_key(&job.spec, job.setup, job.scenario), summary);
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

fn job_key(spec: &DeploymentSpec, setup: Setup, scenario: Scenario) -> String {
    format!("{} {} {setup:?} {scenario:?}", spec.name, spec.recomputed)
}

fn introduction(options: &ReportOptions) -> String {
    let compared = &options.seeds[..options.compared_seeds.min(options.seeds.len())];
    format!(
        "# Policy under load and faults\n\n\
         Written by `cargo run --release --bin policy_report`. Virtual time, stand-in engines with \
         one engine a worker, 5 nodes, 120 s of arrivals and 150 s in all; the first fault comes \
         at 50 s with a notice of 5 s. Prices: 4.00 an hour on demand, 1.00 to 1.45 reclaimable. \
         Seeds {:?}; comparisons of placements and weights on {compared:?}. Tuning used seeds 1 to 8 \
         only. `p95` figures are of urgent requests from the first fault on. Cost is of the VMs, \
         in cents for 1,000 requests that finished, urgent ones only if their first token came \
         within 1.9 s.\n",
        options.seeds
    )
}

fn write_section(text: &mut String, spec: &DeploymentSpec, results: &Results) -> std::fmt::Result {
    let on_demand = Setup { fleet: Fleet::OnDemand, ..Setup::default() };
    let Some(baseline) = results.get(&job_key(spec, on_demand, Scenario::CalmDay)) else {
        return Ok(());
    };
    writeln!(text, "\n## {}\n\n### Scenarios\n", spec.name)?;
    write_header(text)?;
    write_row(text, "all on demand, calm day", baseline, baseline)?;
    for scenario in Scenario::ALL {
        let found = results.get(&job_key(spec, Setup::default(), scenario));
        let Some(summary) = found else { continue };
        write_row(text, scenario.name(), summary, baseline)?;
    }
    for scenario in PLACEMENT_SCENARIOS {
        writeln!(text, "\n### Placements: {}\n", scenario.name())?;
        write_header(text)?;
        for descriptor in PlacementRegistry::default().descriptors() {
            let setup = Setup { placement: descriptor.name, ..Setup::default() };
            let Some(summary) = results.get(&job_key(spec, setup, scenario)) else { continue };
            write_row(text, descriptor.name, summary, baseline)?;
        }
    }
    writeln!(text, "\n### Recomputed tokens after reclaims\n")?;
    writeln!(text, "| scenario | restart from the prompt | moved and resumed | part |")?;
    writeln!(text, "|---|---|---|---|")?;
    for scenario in RECOVERY_SCENARIOS {
        let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
        let restart = results.get(&job_key(spec, setup, scenario));
        let moved = results.get(&job_key(spec, Setup::default(), scenario));
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
        let weighted = DeploymentSpec { recomputed: weight, ..spec.clone() };
        let key = job_key(&weighted, Setup::default(), Scenario::OneZone);
        found.extend(results.get(&key).map(|summary| (weight, *summary)));
    }
    found
}

fn write_header(text: &mut String) -> std::fmt::Result {
    writeln!(
        text,
        "| run | cost | of all on demand | first token p95 | between tokens p95 | urgent in time \
         | worst small team | refused | expired | recomputed | on-demand hours |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|---|---|---|")
}

fn write_row(
    text: &mut String,
    name: &str,
    summary: &Summary,
    baseline: &Summary,
) -> std::fmt::Result {
    writeln!(
        text,
        "| {name} | {:.2} | {:.0}% | {:.0} ms | {:.1} ms | {:.1}% | {:.1}% | {:.1}% | {} | {:.0} \
         | {:.2} |",
        summary.cost_per_thousand,
        100.0 * summary.cost_per_thousand / baseline.cost_per_thousand,
        summary.first_token_p95,
        summary.gap_p95,
        100.0 * summary.in_time,
        100.0 * summary.worst_small_team_in_time,
        100.0 * summary.refused,
        summary.expired,
        summary.recomputed,
        summary.on_demand_hours,
    )
}

fn write_plots(
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
        let Some(found) = results.get(&job_key(spec, Setup::default(), scenario)) else { continue };
        costs.push((scenario.name().to_owned(), found.cost_per_thousand));
    }
    let title = format!("{}: cost of 1,000 requests in time", spec.name);
    bar_chart(&file("cost"), &title, "cents", &costs)?;

    let mut first_tokens = Vec::new();
    for descriptor in PlacementRegistry::default().descriptors() {
        let setup = Setup { placement: descriptor.name, ..Setup::default() };
        let Some(found) = results.get(&job_key(spec, setup, Scenario::Burst)) else { continue };
        first_tokens.push((descriptor.name.to_owned(), found.first_token_p95));
    }
    let title = format!("{}: first token p95 in a burst", spec.name);
    bar_chart(&file("burst"), &title, "ms", &first_tokens)?;

    let curve = trade_off(spec, results);
    let points = curve.iter().map(|(weight, summary)| (*weight, summary.recomputed)).collect();
    let title = format!("{}: recomputed tokens by their weight", spec.name);
    let series = [("one zone reclaimed".to_owned(), points)];
    line_chart(&file("weights"), &title, ("weight", "tokens"), &series)
}
