//! Measures slopes and generates the tables of `docs/CAPACITY.md` from them.

use std::{
    error, fs,
    io::{self, Write},
    path::PathBuf,
};

use bulrushhall_bench::capacity::{Slopes, Target, fill, measure, serve_node, tables};
use clap::{Arg, ArgAction, Command};

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error + Send + Sync>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if serve_node(&args).await? {
        return Ok(());
    }
    let matches = Command::new("capacity")
        .about("Measures slopes and generates the tables of docs/CAPACITY.md from them")
        .arg(
            Arg::new("tables-only")
                .long("tables-only")
                .help("Generates the tables from the recorded slopes without measuring")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .help("Repeats the measurements of one group and keeps the others")
                .value_parser(measure::GROUPS),
        )
        .get_matches();

    let docs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let recorded = docs.join("capacity/slopes.json");
    if !matches.get_flag("tables-only") {
        let only = matches.get_one::<String>("only").map(String::as_str);
        let mut slopes = match only {
            Some(_) => serde_json::from_str(&fs::read_to_string(&recorded)?)?,
            None => Slopes::default(),
        };
        slopes.processors = std::thread::available_parallelism()?.get();
        for name in measure::GROUPS {
            if only.is_none_or(|only| only == name) {
                record(&mut slopes, measure::group(name).await?)?;
            }
        }
        fs::create_dir_all(docs.join("capacity"))?;
        fs::write(&recorded, serde_json::to_string_pretty(&slopes)? + "\n")?;
    }
    let slopes: Slopes = serde_json::from_str(&fs::read_to_string(&recorded)?)?;
    let page = docs.join("CAPACITY.md");
    let filled = fill(&fs::read_to_string(&page)?, &tables(&slopes, &Target::default()))?;
    fs::write(&page, filled)?;
    Ok(())
}

fn record(slopes: &mut Slopes, measured: Vec<measure::NamedSlope>) -> io::Result<()> {
    for (name, slope) in measured {
        let (each, fixed, fit) = (slope.each, slope.fixed, slope.fit);
        let (value, size) = (&slope.value, &slope.size);
        let mut out = io::stdout();
        writeln!(out, "{name}: {each} each, {fixed} fixed, fit {fit} ({value} by {size})")?;
        slopes.slopes.insert(name.to_owned(), slope);
    }
    Ok(())
}
