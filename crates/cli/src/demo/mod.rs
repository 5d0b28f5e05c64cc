//! `bulrush demo`: runs a whole deployment with stand-ins in one process.

mod error;
mod fault_run;
mod options;
mod outcome;
mod sampler;
mod serve;

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

/// Runs the demo; the exit code reports a failure if a promise was broken.
pub fn run(args: &ArgMatches) -> ExitCode {
    let options = DemoOptions::from(args);
    match execute(&options) {
        Ok(status) => status.into(),
        Err(error) => {
            // If standard error can't be written either, the exit code still reports the failure.
            let _ = writeln!(io::stderr(), "{error}");
            ExitStatus::Failed.into()
        }
    }
}

fn execute(options: &DemoOptions) -> Result<ExitStatus, DemoError> {
    let runtime = tokio::runtime::Runtime::new()?;
    if options.serve {
        runtime.block_on(serve::serve(options))?;
        return Ok(ExitStatus::Done);
    }
    let outcome = runtime.block_on(fault_run::run_with_faults(options))?;
    outcome.print(options)?;
    Ok(if outcome.violations.is_empty() { ExitStatus::Done } else { ExitStatus::Failed })
}
