//! The commands and links on the documentation pages work.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
};

use bulrushhall_bench::{Testbed, TestbedOptions};
use rstest::rstest;
use serde_json::Value;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

// Returns a page's commands: the lines outside fenced blocks that are indented by four spaces.
fn commands(page: &str) -> Vec<String> {
    let text = read(page);
    let mut commands = Vec::new();
    let mut fenced = false;
    for line in text.lines() {
        if line.starts_with("```") {
            fenced = !fenced;
        }
        if fenced {
            continue;
        }
        if let Some(command) = line.strip_prefix("    ") {
            commands.push(command.trim().to_owned());
        }
    }
    commands
}

fn shell(command: &str, directory: &Path, environment: &[(&str, String)]) -> Output {
    let tool = Path::new(env!("CARGO_BIN_EXE_bulrush"));
    let tools = tool.parent().expect("a directory").display().to_string();
    let path = format!("{tools}:{}", std::env::var("PATH").unwrap_or_default());
    let mut shell = Command::new("sh");
    shell.arg("-ec").arg(command).current_dir(directory).env("PATH", path);
    shell.envs(environment.iter().map(|(key, value)| (*key, value.clone())));
    shell.output().expect("a shell")
}

#[rstest]
#[case("README.md")]
#[case("CONTRIBUTING.md")]
#[case("docs/OPERATIONS.md")]
#[case("docs/DESIGN.md")]
#[case("docs/GLOSSARY.md")]
#[case("docs/SETTINGS.md")]
#[case("docs/EVENTS.md")]
#[case("docs/METRICS.md")]
#[case("operators/python/README.md")]
fn links(#[case] page: &str) {
    let text = read(page);
    let directory = root().join(page).parent().expect("a directory").to_owned();
    for link in text.split("](").skip(1) {
        let target = link.split(')').next().unwrap_or_default();
        if target.starts_with("http") {
            continue;
        }
        let (path, anchor) = target.split_once('#').unwrap_or((target, ""));
        let file = if path.is_empty() { root().join(page) } else { directory.join(path) };
        assert!(file.exists(), "{page} links to {target}");
        if anchor.is_empty() {
            continue;
        }
        let text = fs::read_to_string(&file).expect("a page");
        let anchors = text.lines().filter(|line| line.starts_with('#'));
        let mut anchors = anchors.map(|line| {
            let words = line.trim_start_matches('#').trim().to_lowercase();
            words.replace(' ', "-").replace([',', '.', '\''], "")
        });
        assert!(anchors.any(|known| known == anchor), "{page} links to {target}");
    }
}

// The demo and the workspace's tests are run by `.ci/run`; running them within a test as well would
// build everything again, which takes minutes.
#[test]
fn readme_commands() {
    let commands = commands("README.md");
    let expected = [
        "cargo run --release --bin bulrush -- demo",
        ".ci/test",
        "PYTHONPATH=operators/python python3 operators/python/examples/guild.py > guild.ini",
        "cargo run --release --bin bulrush -- check guild.ini",
    ];
    assert_eq!(commands[..expected.len()], expected);
    let ci = read(".ci/run");
    assert!(ci.contains("\n.ci/test --exact "), ".ci/run runs the workspace's tests");
    let tests = read(".ci/test");
    assert!(tests.contains("[CARGO, \"test\", \"--workspace\", \"--locked\"]"), "all of them");
    assert!(ci.contains("/debug/bulrush\" demo\n"), ".ci/run runs the demo");

    let directory = std::env::temp_dir().join(format!("bulrush-readme-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    let library = root().join("operators/python");
    let library = library.canonicalize().expect("the library").display().to_string();
    let render = commands[2].replace("operators/python", &library);
    let check = commands[3].replace("cargo run --release --bin bulrush --", "bulrush");
    for command in [render, check] {
        let environment = [("PYTHONDONTWRITEBYTECODE", "1".to_owned())];
        let output = shell(&command, &directory, &environment);
        assert!(output.status.success(), "{command}: {output:?}");
    }
    let _ = fs::remove_dir_all(&directory);
}

// Follows the last part of the README: serves the demo, changes a priority in the Python program,
// applies the configuration and reads the priority from the status of all five nodes.
#[test]
fn readme_priority_change() {
    let commands = commands("README.md");
    let serve = commands.iter().position(|command| command.ends_with("demo --serve"));
    let rest = &commands[serve.expect("the command that serves") + 1..];
    let directory = std::env::temp_dir().join(format!("bulrush-new-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    let library = root().join("operators/python");
    let example = fs::read_to_string(library.join("examples/guild.py")).expect("the example");
    let changed = example.replace("            priority=5,", "            priority=7,");
    assert_ne!(changed, example);
    fs::write(directory.join("guild.py"), changed).expect("a changed example");

    let mut demo = Command::new(env!("CARGO_BIN_EXE_bulrush"))
        .args(["demo", "--serve", "--seconds", "60"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the demo");
    let mut line = String::new();
    let out = demo.stdout.take().expect("the output");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let ready = line.strip_prefix("ready ").expect("a line with the addresses");
    let ready: Value = serde_json::from_str(ready).expect("JSON");
    let kv = ready["key_value"].as_str().expect("an address").to_owned();
    let operators = ready["operators"].as_array().expect("a list");
    let operators: Vec<&str> = operators.iter().filter_map(Value::as_str).collect();
    assert_eq!(operators.len(), 5);
    let environment = [
        ("BULRUSH_KEY_VALUE", kv),
        ("BULRUSH_NODES", operators.join(",")),
        ("PYTHONDONTWRITEBYTECODE", "1".to_owned()),
    ];
    let library = library.canonicalize().expect("the library").display().to_string();
    let mut last = String::new();
    for command in rest.iter().filter(|command| !command.starts_with("export ")) {
        let command = command
            .replace("operators/python/examples/guild.py", "guild.py")
            .replace("operators/python", &library);
        let output = shell(&command, &directory, &environment);
        last = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{command}: {output:?}");
    }
    let _ = demo.kill();
    let _ = demo.wait();
    let _ = fs::remove_dir_all(&directory);
    let words: Vec<Vec<&str>> =
        last.lines().map(|line| line.split_whitespace().collect()).collect();
    assert!(words.contains(&vec!["patient", "7", "20m"]), "{last}");
    let serving = words.iter().filter(|words| words.contains(&"serving")).count();
    assert_eq!(serving, 5, "{last}");
}

// Runs the page's commands in order against running nodes. The page's example revisions, node name
// and request id are replaced by real ones.
#[tokio::test(flavor = "multi_thread")]
async fn operations_page_commands() {
    let options = TestbedOptions { nodes: 2, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let directory = std::env::temp_dir().join(format!("bulrush-pages-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    let page = read("docs/OPERATIONS.md");
    let settings = page.split("```ini\n").nth(1).and_then(|rest| rest.split("```").next());
    fs::write(directory.join("node.ini"), settings.expect("the settings")).expect("a file");
    fs::write(directory.join("guild.ini"), &testbed.config).expect("a file");

    let nodes: Vec<String> =
        testbed.nodes.iter().map(|node| node.operators().to_string()).collect();
    let environment = [
        ("BULRUSH_KEY_VALUE", testbed.kv.address().to_string()),
        ("BULRUSH_NODES", nodes.join(",")),
    ];
    let body = serde_json::json!({
        "model": bulrushhall_bench::testbed::MODEL,
        "messages": [{ "role": "user", "content": "a survey" }],
        "max_tokens": 4,
    });
    let path = "/v1/requests";
    let accepted = testbed.caller(0).json(hyper::Method::POST, path, &[], &body).await;
    let id = accepted.expect("an acceptance")["id"].as_str().expect("an id").to_owned();
    let mut revision = 1;

    for command in commands("docs/OPERATIONS.md") {
        // The daemon would not return; other tests start it as a process.
        if command.starts_with("bulrushd ") || command.starts_with("export ") {
            continue;
        }
        let command = command
            .replace("--expect-revision 7", &format!("--expect-revision {revision}"))
            .replace("--revision 6", "--revision 1")
            .replace("r-5f1c9a00b3d7e-1f", &id)
            .replace("drain entry-1", &format!("drain {}", testbed.nodes[0].name()));
        let output = shell(&command, &directory, &environment);
        assert!(output.status.success(), "{command}: {output:?}");
        if command.starts_with("bulrush apply") && !command.contains("--dry-run") {
            revision += 1;
        }
    }
    assert_eq!(revision, 2, "the page applies exactly one configuration");
    let _ = fs::remove_dir_all(&directory);
}
