//! Each script of `scenarios/`: its output is the same every time.

use std::{env, fs, path::PathBuf};

use bulrushhall_bench::scenario::ScenarioRunner;
use rstest::rstest;

/// The variable that makes the scripts be written anew, as golden files have it.
const UPDATE: &str = "UPDATE_GOLDENFILES";

#[rstest]
fn script(#[files("tests/scenarios/*")] path: PathBuf) {
    let text = fs::read_to_string(&path).expect("a script");
    let mut runner = ScenarioRunner::new().expect("a runtime");
    let output = goldenscript::generate(&mut runner, &text).expect("commands that can be run");
    if env::var(UPDATE).is_ok() {
        fs::write(&path, &output).expect("a written script");
    }
    assert_eq!(output, text, "{:#?}", runner.details());
}
