//! Each script of `scenarios/`: its output is the same every time.
//!
//! A script that shows a real fault stays as it is and is named in `KNOWN-RED.txt`. Its failure is
//! printed, and only a script that is named there may fail.

use std::{
    env, fs,
    io::Write,
    path::{Path, PathBuf},
};

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
    if output != text && is_known_red(&path) {
        let name = path.display();
        let _ = writeln!(std::io::stderr(), "known red: {name}: {:#?}", runner.details());
        return;
    }
    assert_eq!(output, text, "{:#?}", runner.details());
}

#[test]
fn known_red_is_short() {
    let lines = known_red();
    assert!(lines.len() <= 3, "{lines:?}");
    for line in lines {
        assert_eq!(line.split(" | ").count(), 3, "test | cause | issue: {line}");
    }
}

fn is_known_red(script: &Path) -> bool {
    let name = script.file_name().and_then(|name| name.to_str()).unwrap_or_default();
    known_red().iter().any(|line| line.starts_with(&format!("scenario_scripts {name} |")))
}

fn known_red() -> Vec<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}
