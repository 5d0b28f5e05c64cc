//! Checks over a whole deployment: references between its parts.

use crate::config::{Deployment, Problem, Section};

/// Returns every reference in `deployment` that leads nowhere.
pub fn check(file: &str, sections: &[Section], deployment: &Deployment) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, model) in &deployment.models {
        if deployment.services.contains_key(&model.service) {
            continue;
        }
        let message = format!("model {name} names the service {}, which is missing", model.service);
        let hint = Some(format!("add a section [service {}]", model.service));
        let line = line_of(sections, "model", name.as_str());
        problems.push(Problem { file: file.to_owned(), line, message, hint });
    }
    for (name, service) in &deployment.services {
        for backend in &service.backends {
            if deployment.zones.contains_key(&backend.zone) {
                continue;
            }
            let message =
                format!("service {name} names the zone {}, which is missing", backend.zone);
            let hint = Some(format!("add a section [zone {}]", backend.zone));
            let line = line_of(sections, "service", name.as_str());
            problems.push(Problem { file: file.to_owned(), line, message, hint });
        }
    }
    problems
}

fn line_of(sections: &[Section], kind: &str, name: &str) -> usize {
    let found = sections.iter().find(|section| section.kind == kind && section.name == name);
    found.map_or(1, |section| section.line)
}
