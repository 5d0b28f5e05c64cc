//! The two deployments that the policy is measured on.

use std::time::Duration;

use bulrushhall_standin::engine::EngineOptions;

/// A `DeploymentSpec` sizes one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Its name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: [&'static str; 4],
    /// The nodes.
    pub nodes: usize,
    /// The engines that must be left when any one zone is lost.
    pub needed: u32,
    /// The one-way latency between zones.
    pub distance: Duration,
    /// The urgent requests a second that each team sends on average.
    pub urgent: [f64; 5],
    /// The patient requests a second that each team sends on average.
    pub patient: [f64; 5],
    /// The weight of cost.
    pub cost: f64,
    /// The weight of recomputed tokens.
    pub recomputed: f64,
}

impl DeploymentSpec {
    /// Returns the Guild's deployment: 12 model workers with one engine each, of which 9 are left
    /// when a zone is lost; cost weighs more.
    pub fn guild() -> DeploymentSpec {
        DeploymentSpec {
            name: "Guild",
            zones: ["suva-a", "suva-b", "nausori", "navua"],
            nodes: 5,
            needed: 9,
            distance: Duration::from_micros(1_500),
            urgent: [16.0, 12.0, 4.0, 3.0, 2.0],
            patient: [2.8, 2.0, 0.6, 0.5, 0.4],
            cost: 2.0,
            recomputed: 1.0,
        }
    }

    /// Returns Hrafnsdóttir's deployment: 18 model workers with one engine each, of which 13 are
    /// left when a zone is lost; recomputed tokens weigh more.
    pub fn hrafnsdottir() -> DeploymentSpec {
        DeploymentSpec {
            name: "Hrafnsdóttir",
            zones: ["reykjavik-a", "reykjavik-b", "hafnarfjordur", "keflavik"],
            nodes: 5,
            needed: 13,
            distance: Duration::from_micros(500),
            urgent: [23.0, 17.0, 6.0, 4.0, 3.0],
            patient: [3.8, 2.8, 1.0, 0.7, 0.5],
            cost: 1.0,
            recomputed: 2.0,
        }
    }

    /// Returns the engines' costs: prompts are computed in chunks of 128 tokens, so that a step
    /// with 24 answers and a chunk takes 29.6 ms.
    pub fn engine() -> EngineOptions {
        EngineOptions {
            prefill_per_second: 16_000,
            prefill_chunk: 128,
            batch: 24,
            cache_tokens: 60_000,
            ..EngineOptions::default()
        }
    }
}
