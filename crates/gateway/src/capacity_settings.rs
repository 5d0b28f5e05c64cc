//! The settings for what the VM of a node can carry.

use bulrushhall_coord::CapacityWeight;
use bulrushhall_core::config::{Problem, Section};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The link bandwidth that a core uses up, in Mbit/s: a core relays 20,354 tokens/s, each of which is
/// sent as about 200 bytes to its caller and 194 to the holder of its copy (`docs/CAPACITY.md`).
const LINK_MBPS_PER_CORE: f64 = 64.0;
/// The memory that a node uses beside open answers, in MB: the middle one of 302 nodes used 11.4 MB in all
/// (`docs/CAPACITY.md`).
const IDLE_MEMORY_MB: f64 = 16.0;
/// The memory that the open answers of a busy core use, in MB (`docs/CAPACITY.md`: 21.09 MB at 0.4694
/// cores).
const MEMORY_MB_PER_CORE: f64 = 45.0;

/// `CapacitySettings` are what the VM of a node can carry; nodes without any of them count as the
/// median of the others.
#[serde_as]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// The processor time that the node may use, in cores.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub cores: Option<f64>,
    /// The bandwidth of its link, in Mbit/s.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub link_mbps: Option<f64>,
    /// The memory that it may use, in MB.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub memory_mb: Option<f64>,
}

impl CapacitySettings {
    /// Returns the weight of the node, which follows from the limit that is reached first; none if no
    /// limit is set.
    pub fn weight(&self) -> Option<CapacityWeight> {
        let memory = self.memory_mb.map(|memory| (memory - IDLE_MEMORY_MB) / MEMORY_MB_PER_CORE);
        let link = self.link_mbps.map(|link| link / LINK_MBPS_PER_CORE);
        let weight = [self.cores, link, memory].into_iter().flatten().reduce(f64::min)?;
        CapacityWeight::new(weight.clamp(CapacityWeight::MIN, CapacityWeight::MAX))
    }

    /// Returns the values that are out of range.
    pub fn problems(&self, file: &str, sections: &[Section]) -> Vec<Problem> {
        let mut problems = Vec::new();
        let Some(section) = sections.iter().find(|section| section.kind == "capacity") else {
            return problems;
        };
        for (key, value, min, max) in [
            ("cores", self.cores, 0.01, 1_024.0),
            ("link_mbps", self.link_mbps, 0.1, 1_000_000.0),
            ("memory_mb", self.memory_mb, 1.0, 100_000_000.0),
        ] {
            let Some(value) = value.filter(|value| !(min..=max).contains(value)) else { continue };
            let message = format!("{key} = {value} is not between {min} and {max}");
            problems.push(Problem::new(file, section.line_of(key), message));
        }
        problems
    }
}
