//! The configurations that the operators' Python library prints are accepted by `bulrush`.

use std::{
    collections::BTreeMap,
    io::Write,
    path::{Path, PathBuf},
    process::{Command, Output, Stdio},
};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_core::{
    Deployment,
    config::{
        AdapterConfig, ClassConfig, EnginesConfig, Fencing, ModelConfig, RolloutConfig,
        RouteConfig, SECTION_KINDS, ServiceConfig, ServiceType, TeamConfig, VersionConfig,
        VmClassConfig, Weights, ZoneConfig, fields_of, parse_deployment, render,
    },
};
use rstest::rstest;
use serde_json::Value;

fn library() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../operators/python")
}

fn python(args: &[&str]) -> String {
    let mut command = Command::new("python3");
    command.env("PYTHONPATH", library()).env("PYTHONDONTWRITEBYTECODE", "1");
    let output = command.args(args).output().expect("python3");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn run_example(name: &str, args: &[&str]) -> String {
    let path = library().join("examples").join(format!("{name}.py"));
    python(&[&[path.to_str().expect("a path")], args].concat())
}

fn bulrush(args: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrush"));
    let command = command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the tool");
    let mut stdin = child.stdin.take().expect("its input");
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("its output")
}

fn parse(text: &str) -> Deployment {
    parse_deployment("printed", text).unwrap_or_else(|error| panic!("{error}"))
}

#[rstest]
#[case("guild", ["pattern-desk", "guild-ledger"], ["suva-a", "suva-b", "nausori", "navua"], "viti-central")]
#[case(
    "hrafnsdottir",
    ["judge-pool", "desk-api"],
    ["reykjavik-a", "reykjavik-b", "hafnarfjordur", "keflavik"],
    "sudvestur"
)]
fn round_trip(
    #[case] name: &str,
    #[case] services: [&str; 2],
    #[case] zones: [&str; 4],
    #[case] region: &str,
) {
    let text = run_example(name, &[]);
    let checked = bulrush(&["check", "-"], &text);
    assert!(checked.status.success(), "{checked:?}");

    let deployment = parse(&text);
    let known = |name: &str| deployment.services.keys().any(|service| service.as_str() == name);
    assert!(services.into_iter().all(known));
    assert_eq!(deployment.zones.len(), zones.len());
    for (zone, cfg) in &deployment.zones {
        assert!(zones.contains(&zone.as_str()), "{zone}");
        assert_eq!(cfg.region, region);
    }
    assert_eq!(deployment.teams.len(), 5);
    assert_eq!(parse(&render(&deployment)), deployment);
}

#[test]
fn example_values() {
    let deployment = parse(&run_example("guild", &[]));
    let ledger = &deployment.services[&"guild-ledger".parse().expect("a name")];
    assert_eq!(ledger.service_type, ServiceType::Plain);
    assert_eq!(ledger.non_repeatable, ["/orders"]);
    assert_eq!(ledger.fencing, Fencing::Ignored);
    let patient = &deployment.classes[&"patient".parse().expect("a name")];
    assert_eq!(patient.priority, 5);
    assert_eq!(patient.deadline.as_secs(), 1_200);
    assert_eq!(deployment.weights, Weights { cost: 2.0, recomputed: 1.0 });
}

#[test]
fn same_keys_as_configuration() {
    let program = "import json\nfrom bulrushhall.sections import KINDS\n\
                   print(json.dumps({kind.kind: sorted(kind.keys()) for kind in KINDS}))";
    let output = python(&["-c", program]);
    let python_keys: BTreeMap<String, Vec<String>> = serde_json::from_str(&output).expect("JSON");
    let accepted_keys: [(&str, &[&str]); 12] = [
        ("service", fields_of::<ServiceConfig>()),
        ("engines", fields_of::<EnginesConfig>()),
        ("model", fields_of::<ModelConfig>()),
        ("version", fields_of::<VersionConfig>()),
        ("adapter", fields_of::<AdapterConfig>()),
        ("rollout", fields_of::<RolloutConfig>()),
        ("class", fields_of::<ClassConfig>()),
        ("team", fields_of::<TeamConfig>()),
        ("route", fields_of::<RouteConfig>()),
        ("zone", fields_of::<ZoneConfig>()),
        ("vm-class", fields_of::<VmClassConfig>()),
        ("weights", fields_of::<Weights>()),
    ];
    assert_eq!(accepted_keys.map(|(kind, _)| kind), SECTION_KINDS);
    for (kind, keys) in accepted_keys {
        let mut keys = keys.to_vec();
        keys.sort_unstable();
        assert_eq!(python_keys[kind], keys, "[{kind}]");
    }
    assert_eq!(python_keys.len(), SECTION_KINDS.len());
}

// An operator changes a priority in the program and applies its output to a running deployment. The
// program does not contain the addresses of the backend servers and reads them from `bulrush show`.
#[tokio::test(flavor = "multi_thread")]
async fn apply_changed_example() {
    let options = TestbedOptions { nodes: 5, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let kv = testbed.kv.address().to_string();
    let shown = bulrush(&["show", "--json", "--key-value", &kv], "");
    assert!(shown.status.success(), "{shown:?}");
    let file = std::env::temp_dir().join(format!("bulrush-now-{}.json", std::process::id()));
    std::fs::write(&file, &shown.stdout).expect("a written file");

    let text = run_example("guild", &["--backends-from", file.to_str().expect("a path")]);
    let changed = text.replace("[class patient]\npriority = 5", "[class patient]\npriority = 4");
    assert_ne!(changed, text);
    let mut args = vec!["apply", "-", "--json", "--key-value", &kv];
    let nodes: Vec<String> =
        testbed.nodes.iter().map(|node| node.operators().to_string()).collect();
    for node in &nodes {
        args.extend(["--node", node.as_str()]);
    }
    let applied = bulrush(&args, &changed);
    assert!(applied.status.success(), "{applied:?}");
    let applied: Value = serde_json::from_slice(&applied.stdout).expect("JSON");
    assert_eq!(applied["in_force_at"].as_array().map(Vec::len), Some(5));

    let answered = testbed.caller(1).chat(MODEL, "urgent", "which glaze", 8).await;
    assert!(answered.expect("an answer").whole);
    let _ = std::fs::remove_file(file);
}
