//! The two deployments that the policy is simulated for.

use std::time::Duration;

use bulrushhall_standin::engine::EngineOptions;

/// A `DeploymentSpec` is the size, load and weights of one deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Its name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: [&'static str; 4],
    /// The number of nodes.
    pub nodes: usize,
    /// The number of engines that must remain when any one zone is lost.
    pub needed: u32,
    /// The one-way latency between zones.
    pub zone_latency: Duration,
    /// The average rate of urgent requests of each team, per second.
    pub urgent: [f64; 5],
    /// The average rate of patient requests of each team, per second.
    pub patient: [f64; 5],
    /// The weight of cost in placement.
    pub cost: f64,
    /// The weight of recomputed tokens in placement and moves.
    pub recomputed: f64,
}

impl DeploymentSpec {
    /// Returns the Guild's deployment: 12 model workers with one engine each, of which 9 remain
    /// when a zone is lost; cost has the larger weight.
    pub fn guild() -> DeploymentSpec {
        DeploymentSpec {
            name: "Guild",
            zones: ["suva-a", "suva-b", "nausori", "navua"],
            nodes: 5,
            needed: 9,
            zone_latency: Duration::from_micros(1_500),
            urgent: [16.0, 12.0, 4.0, 3.0, 2.0],
            patient: [2.8, 2.0, 0.6, 0.5, 0.4],
            cost: 2.0,
            recomputed: 1.0,
        }
    }

    /// Returns Hrafnsdóttir's deployment: 18 model workers with one engine each, of which 13
    /// remain when a zone is lost; recomputed tokens have the larger weight.
    pub fn hrafnsdottir() -> DeploymentSpec {
        DeploymentSpec {
            name: "Hrafnsdóttir",
            zones: ["reykjavik-a", "reykjavik-b", "hafnarfjordur", "keflavik"],
            nodes: 5,
            needed: 13,
            zone_latency: Duration::from_micros(500),
            urgent: [23.0, 17.0, 6.0, 4.0, 3.0],
            patient: [3.8, 2.8, 1.0, 0.7, 0.5],
            cost: 1.0,
            recomputed: 2.0,
        }
    }

    /// Returns the options of the engines. Prompts are computed in chunks of 128 tokens, so that a
    /// step with 24 answers and a chunk takes 29.6 ms.
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
