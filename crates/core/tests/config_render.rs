//! A deployment is unchanged after it is rendered as INI text and parsed again.

use std::time::Duration;

use bulrushhall_core::{
    Deployment, ZoneName,
    config::{
        AdapterConfig, ClassConfig, EnginesConfig, Fencing, HourlyPrice, KeyHash, ModelConfig,
        Rate, RolloutConfig, ServiceConfig, ServiceType, TeamConfig, VersionConfig, VmClassConfig,
        Weights, ZoneConfig, parse_deployment, render,
    },
    name::{Name, NameKind},
};
use rstest::rstest;

fn name<K: NameKind>(text: &str) -> Name<K> {
    Name::new(text).expect("a valid name")
}

fn full_deployment() -> Deployment {
    let zone: ZoneName = name("suva-a");
    let mut deployment = Deployment::default();
    let cfg = ZoneConfig { region: "viti-central".to_owned() };
    deployment.zones.insert(zone.clone(), cfg);
    let cfg = VmClassConfig {
        zones: vec![zone],
        reclaimable_price: Some(HourlyPrice(350)),
        on_demand_price: Some(HourlyPrice(1_205)),
        ..VmClassConfig::default()
    };
    deployment.vm_classes.insert(name("large"), cfg);
    let cfg = ServiceConfig {
        service_type: ServiceType::Plain,
        backends: vec!["vm-1@suva-a@127.0.0.1:9000".parse().expect("an address")],
        non_repeatable: vec!["/orders".to_owned(), "/pigments".to_owned()],
        fencing: Fencing::Checked,
        timeout: Duration::from_millis(1_500).into(),
        ..ServiceConfig::default()
    };
    deployment.services.insert(name("guild-ledger"), cfg);
    deployment.services.insert(name("pattern-desk"), ServiceConfig::default());
    let cfg = EnginesConfig { least: 4, vm_classes: vec![name("large")], ..Default::default() };
    deployment.engines.insert(name("pattern-desk"), cfg);
    let cfg = ModelConfig {
        service: name("pattern-desk"),
        version: "motif-3".to_owned(),
        ..ModelConfig::default()
    };
    deployment.models.insert(name("motif-7b"), cfg);
    let cfg = VersionConfig { model: name("motif-7b"), ..VersionConfig::default() };
    deployment.versions.insert(name("motif-3"), cfg);
    let size = bytesize::ByteSize(123_456_789);
    let cfg = AdapterConfig { model: name("motif-7b"), size, ..AdapterConfig::default() };
    deployment.adapters.insert(name("glazes"), cfg);
    let cfg = RolloutConfig {
        model: name("motif-7b"),
        version: name("motif-3"),
        ..RolloutConfig::default()
    };
    deployment.rollouts.insert(name("spring"), cfg);
    let patience = Some(Duration::from_secs(90).into());
    let deadline = Duration::from_secs(600).into();
    let cfg = ClassConfig { patience, deadline, ..ClassConfig::default() };
    deployment.classes.insert(name("patient"), cfg);
    let cfg = TeamConfig {
        share: 3,
        key_hash: Some(KeyHash::of("a key")),
        at_once: Some(40),
        requests: Some(Rate { per_minute: 90 }),
        tokens: Some(Rate { per_minute: 6_000 }),
        ..TeamConfig::default()
    };
    deployment.teams.insert(name("workshop"), cfg);
    deployment.weights = Weights { cost: 2.5, ..Weights::default() };
    deployment
}

#[test]
fn round_trip() {
    let deployment = full_deployment();
    let text = render(&deployment);
    let parsed = parse_deployment("rendered", &text).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(parsed, deployment);
    assert_eq!(render(&parsed), text);
}

#[test]
fn defaults_omitted() {
    let text = render(&Deployment::default());
    assert_eq!(text, "[weights]\n\n");
}

#[rstest]
#[case("0.35/h", 350)]
#[case("12/h", 12_000)]
#[case("0.001/h", 1)]
fn prices(#[case] text: &str, #[case] thousandths: u32) {
    assert_eq!(text.parse(), Ok(HourlyPrice(thousandths)));
}

#[rstest]
#[case("0.0001/h")]
#[case("-1/h")]
#[case("1,5/h")]
#[case("4294968/h")]
#[case("1")]
#[case("")]
fn malformed_prices(#[case] text: &str) {
    assert!(text.parse::<HourlyPrice>().is_err());
}

#[test]
fn idempotence() {
    let cfg = ServiceConfig {
        service_type: ServiceType::Plain,
        non_repeatable: vec!["/orders".to_owned()],
        ..ServiceConfig::default()
    };
    assert!(cfg.is_idempotent("GET", "/stock"));
    assert!(!cfg.is_idempotent("POST", "/stock"));
    assert!(!cfg.is_idempotent("GET", "/orders/7"));
    let cfg = ServiceConfig { idempotent_methods: vec!["PUT".to_owned()], ..cfg };
    assert!(cfg.is_idempotent("PUT", "/stock"));
    assert!(!cfg.is_idempotent("GET", "/stock"));
}
