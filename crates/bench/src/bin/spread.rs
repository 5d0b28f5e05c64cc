//! Measures the cost of membership and the time until updates reach all members, for each shape of
//! the cluster.

use std::io::{self, Write};

use bulrushhall_bench::spread::{Shape, SpreadOptions, measure};
use clap::{Arg, ArgAction, Command, value_parser};

/// The measured numbers of members.
const SIZES: [usize; 4] = [5, 20, 100, 340];
/// The measured shares of lost messages.
const LOSSES: [f64; 3] = [0.0, 0.01, 0.1];

fn main() -> io::Result<()> {
    let matches = Command::new("spread")
        .about("Measures membership with the real state machines in simulated time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("The seed of the random choices"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON lines"))
        .get_matches();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let json = matches.get_flag("json");
    let mut out = io::stdout().lock();
    if !json {
        writeln!(
            out,
            "members shape    loss  msgs/s   B/s mean   B/s most  leaving  revision  lone rev  \
             core %  records suspected complete"
        )?;
    }
    for members in SIZES {
        for shape in [Shape::Flat, Shape::ByZone, Shape::Daemon] {
            for loss in LOSSES {
                let found = measure(SpreadOptions::sized(members, shape, loss, seed));
                if json {
                    let found = serde_json::json!({
                        "members": members, "shape": format!("{shape:?}"), "loss": loss,
                        "seed": seed, "found": found,
                    });
                    writeln!(out, "{found}")?;
                    continue;
                }
                let millis = |ms: Option<u128>| ms.map_or("never".to_owned(), |ms| ms.to_string());
                writeln!(
                    out,
                    "{members:7} {:8} {loss:4} {:7.2} {:10.0} {:10.0} {:>8} {:>9} {:>9} {:7.3} \
                     {:8} {:9} {}",
                    format!("{shape:?}"),
                    found.messages,
                    found.bytes,
                    found.bytes_most,
                    millis(found.leaving_ms),
                    millis(found.revision_ms),
                    millis(found.lone_revision_ms),
                    found.processor * 100.0,
                    found.records,
                    found.suspicions,
                    found.complete,
                )?;
                out.flush()?;
            }
        }
    }
    Ok(())
}
