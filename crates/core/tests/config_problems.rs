//! A check of a configuration reports all problems at once, each with its line and a hint.

use bulrushhall_core::{
    CoreError,
    config::{Problem, parse_deployment},
};
use rstest::rstest;

const VALID: &str = "\
[zone suva-a]
region = viti-central

[service pattern-desk]
type = model
backends = vm-1@suva-a@127.0.0.1:9000, vm-2@suva-a@127.0.0.1:9001

[model motif-7b]
service = pattern-desk

[class urgent]
priority = 0

[team workshop]
share = 3
";

fn problems_of(text: &str) -> Vec<Problem> {
    match parse_deployment("guild.ini", text) {
        Err(CoreError::Config(problems)) => problems,
        other => panic!("{other:?}"),
    }
}

fn only_problem(added: &str) -> (usize, String, String) {
    let problems = problems_of(&format!("{VALID}{added}"));
    let [problem] = problems.as_slice() else { panic!("{problems:?}") };
    assert_eq!(problem.file, "guild.ini");
    let valid_lines = VALID.lines().count();
    let hint = problem.hint.clone().unwrap_or_default();
    (problem.line - valid_lines, problem.message.clone(), hint)
}

#[test]
fn valid_text() {
    let deployment = parse_deployment("guild.ini", VALID).expect("a deployment");
    assert_eq!(deployment.services.len(), 1);
    assert_eq!(deployment.teams["workshop".parse().as_ref().expect("a name")].share, 3);
}

// Guards against a check that stops at the first problem: an operator with several mistakes in one
// change would need as many runs, possibly in the middle of an outage.
#[test]
fn all_problems() {
    let text = "\
[class urgent]
priorty = 0
deadline = 10

[class urgent]

[model motif-7b]
service = patern-desk

[service pattern-desk]
backends = vm-1@suva-z@127.0.0.1:9000
not a pair at all =
timeout = 10s
timeout = 20s

[tem workshop]
";
    let found = problems_of(text);
    let lines: Vec<usize> = found.iter().map(|problem| problem.line).collect();
    assert_eq!(lines, [2, 3, 5, 8, 11, 12, 14, 16], "{found:#?}");
    assert!(found.iter().all(|problem| problem.hint.is_some()), "{found:#?}");
}

#[rstest]
#[case::unknown_key("[class patient]\ndedline = 10m\n", 2, "unknown key dedline", "deadline")]
#[case::no_unit("[class patient]\ndeadline = 10\n", 2, "time unit", "deadline = 10s")]
#[case::wrong_unit("[class patient]\ndeadline = 10MiB\n", 2, "deadline", "")]
#[case::negative("[team archive]\nshare = -1\n", 2, "share", "")]
#[case::no_share("[team archive]\nshare = 0\n", 2, "no share", "at least 1")]
#[case::rate("[team archive]\nrequests = 50\n", 2, "50/s", "")]
#[case::short_hash("[team archive]\nkey_hash = abc\n", 2, "64 hexadecimal", "")]
#[case::price("[vm-class large]\nreclaimable_price = 1.2\n", 2, "0.35/h", "")]
#[case::size("[version 1]\nmodel = motif-7b\nsize = 14\n", 3, "unit", "")]
#[case::unknown_section("[clas patient]\n", 1, "unknown section", "[class]")]
#[case::no_name("[team]\n", 1, "name of a team", "[team NAME]")]
#[case::bad_name("[team a/b]\n", 1, "name of a team", "[team NAME]")]
#[case::duplicate_section("[team workshop]\n", 1, "is defined twice", "remove")]
#[case::duplicate_key("[team archive]\nshare = 1\nshare = 2\n", 3, "set twice", "remove")]
#[case::service("[model m]\nservice = patern-desk\n", 2, "missing", "pattern-desk")]
#[case::no_service("[model m]\n", 1, "unset", "add a section")]
#[case::version_model("[version v]\nmodel = motif-8b\n", 2, "missing", "motif-7b")]
#[case::adapter_model("[adapter a]\nmodel = motif-8b\n", 2, "missing", "motif-7b")]
#[case::engines("[engines guild-ledger]\n", 1, "missing", "[service guild-ledger]")]
#[case::min_above_max("[engines pattern-desk]\nleast = 9\nmost = 3\n", 3, "least is 9", "at least")]
#[case::zone("[vm-class l]\nreclaimable_price = 1/h\nzones = suva-b\n", 3, "missing", "suva-a")]
#[case::no_price("[vm-class l]\n", 1, "no price", "0.35/h")]
#[case::deadline("[class p]\nfirst_token = 2s\ndeadline = 1s\n", 3, "before", "longer")]
#[case::patience("[class p]\npatience = 2m\ndeadline = 1m\n", 2, "patience", "shorter")]
#[case::relative_path(
    "[service p]\ntype = plain\nnon_repeatable = orders\n",
    3,
    "orders",
    "/orders"
)]
#[case::not_idempotent("[service p]\ntype = plain\nidempotent_methods = POST\n", 3, "POST", "PUT")]
#[case::weight("[weights]\ncost = -1\n", 2, "-1", "at least 0")]
fn one_problem(
    #[case] added: &str,
    #[case] line: usize,
    #[case] message: &str,
    #[case] hint: &str,
) {
    let (found_line, found_message, found_hint) = only_problem(added);
    assert_eq!(found_line, line, "{found_message}");
    assert!(found_message.contains(message), "{found_message}");
    assert!(found_hint.contains(hint), "{found_message}: {found_hint}");
}

// Two teams with the same key would see each other's requests.
#[test]
fn shared_key() {
    let hash = "ab".repeat(32);
    let added = format!("[team a]\nkey_hash = {hash}\n[team b]\nkey_hash = {hash}\n");
    let (line, message, _) = only_problem(&added);
    assert_eq!(line, 4);
    assert!(message.contains("same key as team a"), "{message}");
    assert!(!message.contains(&hash), "{message}");
}

#[rstest]
#[case("[route r]\nhost = a.example\nservices = pattern@1\n", 3, "pattern, which is missing")]
#[case("[route r]\nhost = A.example\nservices = pattern-desk@1\n", 2, "host in lower case")]
#[case("[route r]\nhost = a\nprefix = /x\nservices = pattern-desk@1\n", 3, "with a slash")]
#[case("[route r]\nhost = a\nservices = pattern-desk@0\n", 3, "no service with a weight")]
#[case("[route r]\nhost = a\nservices = pattern-desk\n", 3, "expected service@weight")]
#[case("[route r]\nhost = a\nservices = pattern-desk@1\nattempts = 0\n", 4, "attempts is 0")]
#[case("[route r]\nhost = a\nservices = pattern-desk@1\nkind = twice\n", 4, "unknown variant")]
fn routes(#[case] added: &str, #[case] line: usize, #[case] message: &str) {
    let (found_line, found_message, _) = only_problem(added);
    assert_eq!(found_line, line, "{found_message}");
    assert!(found_message.contains(message), "{found_message}");
}
