//! `bulrush demo`: a whole deployment with stand-ins in one process.

use std::{error::Error, io::Write, process::ExitCode};

use bulrushhall_bench::{
    Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL},
};
use bulrushhall_standin::engine::expected_answer;
use clap::{ArgMatches, Command};
use hyper::Method;
use serde_json::json;

const PROMPT: &str = "which glaze suits a restored cobalt border tile";

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("demo").about("Runs a deployment with stand-ins in one process")
}

/// Runs the demo; the exit code is 1 when a promise was broken.
pub fn run(_args: &ArgMatches) -> ExitCode {
    let Ok(runtime) = tokio::runtime::Runtime::new() else { return ExitCode::from(2) };
    match runtime.block_on(whole_path()) {
        Ok(lines) => {
            let mut out = std::io::stdout().lock();
            for line in &lines {
                let _ = writeln!(out, "{line}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}

async fn whole_path() -> Result<Vec<String>, Box<dyn Error>> {
    let mut testbed = Testbed::start(TestbedOptions::default()).await?;
    let caller = testbed.caller(0);
    let answered = caller.chat(MODEL, "urgent", PROMPT, 64).await?;
    let expected = expected_answer(&format!("user: {PROMPT}\n"), 64);
    if !answered.whole || answered.text != expected {
        return Err("the streamed answer is not the whole answer to its prompt".into());
    }
    let headers = [("idempotency-key", "order-1")];
    let path = format!("/v1/services/{LEDGER}/orders");
    let order = json!({ "slot": "kiln-2", "hours": 6 });
    for _ in 0..2 {
        caller.json(Method::POST, &path, &headers, &order).await?;
    }
    let runs = testbed.ledger.counts().runs.get("order-1").copied().unwrap_or(0);
    if runs != 1 {
        return Err(format!("the order ran {runs} times").into());
    }
    for node in testbed.nodes.drain(..) {
        node.stop().await;
    }
    Ok(vec![
        format!("streamed answer: whole, {} tokens", answered.gaps.len() + 1),
        format!("first token: {} ms", answered.first_token.as_millis()),
        "order sent twice with one key: ran once".to_owned(),
    ])
}
