//! Validation of a whole deployment: references between its parts and contradictory values.

use std::fmt::Display;

use crate::{
    config::{Deployment, Problem, Section, ServiceType, closest_match},
    name::Name,
};

/// Returns a problem for every reference in `deployment` to a missing section and for every
/// contradiction.
pub fn check(file: &str, sections: &[Section], deployment: &Deployment) -> Vec<Problem> {
    let mut check = Check { file, sections, deployment, problems: Vec::new() };
    check.services();
    check.engines();
    check.models();
    check.versions();
    check.rollouts();
    check.classes();
    check.teams();
    check.vm_classes();
    check.routes();
    check.weights();
    check.problems
}

struct Check<'a> {
    file: &'a str,
    sections: &'a [Section],
    deployment: &'a Deployment,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn services(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.services {
            for backend in &cfg.backends {
                self.reference(("service", name), "backends", &backend.zone, &deployment.zones);
            }
            for path in &cfg.non_repeatable {
                if path.starts_with('/') {
                    continue;
                }
                let message = format!("service {name}: the path {path:?} does not start with /");
                self.add(("service", name), "non_repeatable", message, format!("write /{path}"));
            }
            if cfg.service_type == ServiceType::Model && !cfg.non_repeatable.is_empty() {
                let message = format!("service {name} runs models and has non-repeatable paths");
                let hint = "write type = plain, or remove non_repeatable";
                self.add(("service", name), "non_repeatable", message, hint);
            }
            if cfg.timeout.is_zero() {
                let message = format!("service {name} has a timeout of zero");
                self.add(("service", name), "timeout", message, "write a time such as 10s");
            }
            let plain = cfg.service_type == ServiceType::Plain;
            for method in &cfg.idempotent_methods {
                let idempotent =
                    matches!(method.as_str(), "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE");
                if !plain || idempotent {
                    continue;
                }
                let hint = "write GET, HEAD, OPTIONS, PUT or DELETE";
                let message = format!("service {name}: {method} calls are not idempotent in HTTP");
                self.add(("service", name), "idempotent_methods", message, hint);
            }
        }
    }

    fn engines(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.engines {
            self.reference(("engines", name), "", name, &deployment.services);
            for class in &cfg.vm_classes {
                self.reference(("engines", name), "vm_classes", class, &deployment.vm_classes);
            }
            if cfg.most < cfg.least {
                let message =
                    format!("engines {name}: least is {} and most {}", cfg.least, cfg.most);
                self.add(
                    ("engines", name),
                    "most",
                    message,
                    "make most at least as large as least",
                );
            }
            if cfg.answers == 0 {
                let message = format!("engines {name}: answers is 0");
                self.add(("engines", name), "answers", message, "write at least 1");
            }
        }
    }

    fn models(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.models {
            self.reference(("model", name), "service", &cfg.service, &deployment.services);
            let service = deployment.services.get(&cfg.service);
            if service.is_some_and(|service| service.service_type == ServiceType::Plain) {
                let message = format!("model {name} names the plain service {}", cfg.service);
                self.add(("model", name), "service", message, "name a service of type model");
            }
            let mut own = deployment.versions.iter().filter(|(_, version)| version.model == *name);
            let named: Vec<&str> = own.by_ref().map(|(version, _)| version.as_str()).collect();
            if !named.is_empty() && !named.contains(&cfg.version.as_str()) {
                let message =
                    format!("model {name} names the version {}, which is missing", cfg.version);
                let hint =
                    format!("name one of {}, or add [version {}]", named.join(", "), cfg.version);
                self.add(("model", name), "version", message, hint);
            }
            if cfg.max_tokens == 0 {
                let message = format!("model {name}: max_tokens is 0");
                self.add(("model", name), "max_tokens", message, "write at least 1");
            }
        }
    }

    fn versions(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.versions {
            self.reference(("version", name), "model", &cfg.model, &deployment.models);
        }
        for (name, cfg) in &deployment.adapters {
            self.reference(("adapter", name), "model", &cfg.model, &deployment.models);
        }
    }

    fn rollouts(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.rollouts {
            self.reference(("rollout", name), "model", &cfg.model, &deployment.models);
            self.reference(("rollout", name), "version", &cfg.version, &deployment.versions);
            let version = deployment.versions.get(&cfg.version);
            if version.is_some_and(|version| version.model != cfg.model) {
                let message =
                    format!("rollout {name}: {} is not a version of {}", cfg.version, cfg.model);
                self.add(("rollout", name), "version", message, "name a version of the model");
            }
            if cfg.step == 0 {
                let message = format!("rollout {name}: step is 0");
                self.add(("rollout", name), "step", message, "write at least 1");
            }
        }
    }

    fn classes(&mut self) {
        for (name, cfg) in &self.deployment.classes {
            if *cfg.deadline < *cfg.first_token {
                let message = format!(
                    "class {name}: the deadline {} is before the first token's {}",
                    cfg.deadline, cfg.first_token
                );
                self.add(("class", name), "deadline", message, "make the deadline longer");
            }
            if cfg.patience.is_some_and(|patience| *cfg.deadline <= *patience) {
                let message = format!("class {name}: patience is not shorter than the deadline");
                self.add(
                    ("class", name),
                    "patience",
                    message,
                    "make patience shorter than deadline",
                );
            }
        }
    }

    fn teams(&mut self) {
        for (name, cfg) in &self.deployment.teams {
            if cfg.share == 0 {
                let message = format!("team {name} has no share, so it would never be served");
                self.add(("team", name), "share", message, "write at least 1");
            }
            for (other, other_cfg) in &self.deployment.teams {
                let first = other < name;
                let shared = cfg.key_hash.is_some() && cfg.key_hash == other_cfg.key_hash;
                if first && shared {
                    let message = format!("team {name} has the same key as team {other}");
                    self.add(("team", name), "key_hash", message, "give each team its own key");
                }
            }
        }
    }

    fn routes(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.routes {
            for share in &cfg.services {
                self.reference(("route", name), "services", &share.service, &deployment.services);
            }
            if cfg.services.iter().all(|share| share.weight == 0) {
                let message = format!("route {name} has no service with a weight above 0");
                self.add(("route", name), "services", message, "write services = NAME@1");
            }
            if cfg.host.is_empty() || cfg.host != cfg.host.to_ascii_lowercase() {
                let message = format!("route {name} needs a host in lower case");
                self.add(("route", name), "host", message, "write host = desk.example");
            }
            if !cfg.prefix.starts_with('/') || !cfg.prefix.ends_with('/') {
                let message =
                    format!("route {name}: the prefix does not begin and end with a slash");
                self.add(("route", name), "prefix", message, "write prefix = /orders/");
            }
            if cfg.attempts == 0 {
                let message = format!("route {name}: attempts is 0");
                self.add(("route", name), "attempts", message, "write attempts = 1");
            }
            if cfg.timeout.is_zero() {
                let message = format!("route {name} has a timeout of zero");
                self.add(("route", name), "timeout", message, "write a time such as 10s");
            }
        }
    }

    fn vm_classes(&mut self) {
        let deployment = self.deployment;
        for (name, cfg) in &deployment.vm_classes {
            for zone in &cfg.zones {
                self.reference(("vm-class", name), "zones", zone, &deployment.zones);
            }
            if cfg.reclaimable_price.is_none() && cfg.on_demand_price.is_none() {
                let message = format!("VM class {name} has no price, so none would be bought");
                let hint = "write reclaimable_price = 0.35/h or on_demand_price = 1.20/h";
                self.add(("vm-class", name), "reclaimable_price", message, hint);
            }
        }
    }

    fn weights(&mut self) {
        let weights = &self.deployment.weights;
        for (key, weight) in [("cost", weights.cost), ("recomputed", weights.recomputed)] {
            if weight.is_finite() && 0.0 <= weight {
                continue;
            }
            let message = format!("the weight {key} is {weight}");
            self.add(("weights", &""), key, message, "write a number of at least 0");
        }
    }

    fn reference<K, T>(
        &mut self,
        from: (&str, &dyn Display),
        key: &str,
        target: &Name<K>,
        targets: &std::collections::BTreeMap<Name<K>, T>,
    ) where
        K: crate::name::NameKind,
    {
        if targets.contains_key(target) {
            return;
        }
        let kind = K::WORD;
        let (section, name) = from;
        let message = format!("{section} {name} names the {kind} {target}, which is missing");
        let suggestion = closest_match(target.as_str(), targets.keys().map(Name::as_str));
        let hint = match suggestion {
            Some(suggestion) => format!("did you mean {suggestion}?"),
            None => format!("add a section [{} {target}]", section_of(kind)),
        };
        self.add(from, key, message, hint);
    }

    fn add(
        &mut self,
        (kind, name): (&str, &dyn Display),
        key: &str,
        message: String,
        hint: impl Into<String>,
    ) {
        let name = name.to_string();
        let mut sections = self.sections.iter();
        let found = sections.find(|section| section.kind == kind && section.name == name);
        let line = found.map_or(1, |section| section.line_of(key));
        self.problems.push(Problem::new(self.file, line, message).hint(hint));
    }
}

// Maps the word for a kind in messages to the kind of its section in the INI text.
fn section_of(kind: &str) -> &str {
    match kind {
        "availability zone" => "zone",
        "VM class" => "vm-class",
        other => other,
    }
}
