//! A deployment that is built from settings structs renders as INI and parses back unchanged.

use bulrushhall::{
    core::name::{Name, NameKind},
    settings::{
        ClassConfig, Deployment, ModelConfig, ServiceConfig, TeamConfig, parse_deployment, render,
    },
};

fn name<K: NameKind>(text: &str) -> Name<K> {
    Name::new(text).expect("a valid name")
}

#[test]
fn renders_and_parses_back() {
    let mut deployment = Deployment::default();
    deployment.services.insert(name("pattern-desk"), ServiceConfig::default());
    let cfg = ModelConfig { service: name("pattern-desk"), ..ModelConfig::default() };
    deployment.models.insert(name("motif-7b"), cfg);
    let cfg = ClassConfig { priority: 0, ..ClassConfig::default() };
    deployment.classes.insert(name("urgent"), cfg);
    let cfg = TeamConfig { share: 4, ..TeamConfig::default() };
    deployment.teams.insert(name("workshop"), cfg);

    let text = render(&deployment);
    assert!(text.contains("[class urgent]\npriority = 0\n"), "{text}");
    assert_eq!(parse_deployment("rendered", &text).as_ref(), Ok(&deployment));
}
