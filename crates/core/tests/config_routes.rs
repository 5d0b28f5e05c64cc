//! Parsing and rendering of routes, and the split of their requests between services.

use std::collections::BTreeMap;

use bulrushhall_core::{
    RouteName,
    config::{RouteKind, parse_deployment, render},
};

const TEXT: &str = "\
[service pattern-desk]
type = model

[service trial]
type = model

[route surveys]
host = tiles.example
prefix = /surveys/
services = pattern-desk@9, trial@1
kind = resumable-stream
attempts = 2
target_gap = 250ms
priority = 0
";

#[test]
fn round_trip() {
    let deployment = parse_deployment("guild.ini", TEXT).expect("a deployment");
    let route = &deployment.routes[&RouteName::new("surveys").expect("a name")];
    assert_eq!(route.kind, RouteKind::ResumableStream);
    assert!(route.kind.may_run_again() && route.kind.is_stream());
    assert_eq!(route.services.len(), 2);
    assert_eq!(parse_deployment("again.ini", &render(&deployment)).expect("the same"), deployment);
}

#[test]
fn split_by_weight() {
    let deployment = parse_deployment("guild.ini", TEXT).expect("a deployment");
    let route = &deployment.routes[&RouteName::new("surveys").expect("a name")];
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for hash in 0..1_000 {
        *counts.entry(route.service(hash).expect("a service").as_str()).or_default() += 1;
    }
    assert_eq!(counts, BTreeMap::from([("pattern-desk", 900), ("trial", 100)]));
}
