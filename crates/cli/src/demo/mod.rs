//! `bulrush demo`: a whole deployment with stand-ins in one process.

mod error;
mod options;
mod outcome;
mod sampler;
mod serve;
mod show;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use clap::ArgMatches;

pub use options::command;

use crate::{
    demo::{error::DemoError, options::DemoOptions},
    exit::ExitStatus,
};

/// Runs the demo; it fails when a promise was broken.
pub fn run(args: &ArgMatches) -> ExitCode {
    let options = DemoOptions::from(args);
    match start(&options) {
        Ok(status) => status.into(),
        Err(error) => {
            // Where not even this can be written, the exit code still tells.
            let _ = writeln!(io::stderr(), "{error}");
            ExitStatus::Failed.into()
        }
    }
}

fn start(options: &DemoOptions) -> Result<ExitStatus, DemoError> {
    let runtime = tokio::runtime::Runtime::new()?;
    if options.serve {
        runtime.block_on(serve::serve(options))?;
        return Ok(ExitStatus::Done);
    }
    let outcome = runtime.block_on(show::show(options))?;
    outcome.print(options)?;
    Ok(if outcome.violations.is_empty() { ExitStatus::Done } else { ExitStatus::Failed })
}
