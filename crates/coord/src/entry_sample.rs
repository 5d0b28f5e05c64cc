//! Which nodes the directory names to a caller, so that nodes get callers by what they can carry.

use std::collections::BTreeMap;

use bulrushhall_core::ZoneName;
use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{CapacityWeight, Role};

/// The tolerance in counts of nodes that are computed from sums of weights.
const ROUNDING: f64 = 1e-6;
/// The cores that relaying takes for each node of the system: the busiest node of the deployments in
/// `docs/CAPACITY.md`, a relay, used 3.8% of a core more than the middle one at 32 nodes, 13.4% at 102.
const RELAYING_CORES_PER_NODE: f64 = 0.0013;
/// The fraction of its weight that a relay keeps at least, so that none is without callers.
const MIN_RELAY_FRACTION: f64 = 0.1;

/// An `EntryNode` is a node that serves callers.
#[derive(Clone, Copy, Debug)]
pub struct EntryNode<'a> {
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Its weight for callers, in units of [`CapacityWeight`]; above 0.
    pub weight: f64,
}

/// Returns the weight for callers of a node, which is lower for a relay by what relaying takes in a
/// system of `nodes` nodes.
pub fn caller_weight(weight: CapacityWeight, role: Role, nodes: usize) -> f64 {
    let weight = weight.value();
    if role != Role::Relay {
        return weight;
    }
    let relaying = RELAYING_CORES_PER_NODE * nodes as f64;
    (weight - relaying).max(weight * MIN_RELAY_FRACTION)
}

/// An `EntrySampler` draws the nodes that an answer of the directory names.
///
/// A caller chooses uniformly among the nodes of an answer, so each node gets callers in proportion
/// to its weight if all answers name the same number of nodes and name each with a probability in
/// proportion to its weight.
#[derive(Clone, Copy, Debug)]
pub struct EntrySampler {
    /// The minimum number of nodes where there are as many; callers need others if one fails.
    pub min: usize,
    /// The maximum number of nodes; it takes precedence over the minimum.
    pub max: usize,
}

impl Default for EntrySampler {
    fn default() -> Self {
        EntrySampler { min: 4, max: 64 }
    }
}

impl EntrySampler {
    /// Returns the positions of the nodes that one answer names; they are of two availability zones
    /// if there are.
    ///
    /// The answer is as long as the weights permit, because callers are spread more evenly by longer
    /// ones: the largest node is named in each. Equal weights give all nodes up to the maximum. A
    /// node with more than a quarter of all weight gets the share of a quarter, because the
    /// minimum takes precedence.
    pub fn sample(&self, nodes: &[EntryNode<'_>], rng: &mut impl Rng) -> Vec<usize> {
        let size = self.size(nodes);
        if size == nodes.len() {
            return (0..size).collect();
        }
        let inclusion = inclusion_probabilities(nodes, size);
        let mut sample = Vec::with_capacity(size);
        let mut sum = 0.0;
        let mut threshold: f64 = rng.random();
        for at in shuffled_by_zone(nodes, rng) {
            sum += inclusion[at];
            if threshold < sum {
                sample.push(at);
                threshold += 1.0;
            }
        }
        add_second_zone(nodes, &mut sample, rng);
        sample
    }

    // Returns the number of nodes of an answer, at which no probability would have to exceed 1.
    fn size(&self, nodes: &[EntryNode<'_>]) -> usize {
        let total: f64 = nodes.iter().map(|node| node.weight).sum();
        let largest = nodes.iter().map(|node| node.weight).fold(0.0, f64::max);
        let size = if 0.0 < largest { (total / largest + ROUNDING) as usize } else { nodes.len() };
        size.max(self.min).min(self.max).min(nodes.len())
    }
}

// Returns the probability at which each node is in a sample of the size: 1 for the nodes that have
// more weight than a member of the sample can get, in proportion to the weight for the others.
fn inclusion_probabilities(nodes: &[EntryNode<'_>], size: usize) -> Vec<f64> {
    let mut by_weight: Vec<usize> = (0..nodes.len()).collect();
    by_weight.sort_by(|a, b| nodes[*b].weight.total_cmp(&nodes[*a].weight));
    let mut probabilities = vec![0.0; nodes.len()];
    let mut left = size as f64;
    let mut left_weight: f64 = nodes.iter().map(|node| node.weight).sum();
    for at in by_weight {
        let probability = (left * nodes[at].weight / left_weight).min(1.0);
        probabilities[at] = probability;
        if 1.0 <= probability {
            left -= 1.0;
            left_weight -= nodes[at].weight;
        }
    }
    probabilities
}

// Returns the nodes in random order within their zones, which are in random order too: nodes at equal
// distances along it are spread over the zones by their weights.
fn shuffled_by_zone(nodes: &[EntryNode<'_>], rng: &mut impl Rng) -> Vec<usize> {
    let mut zones: BTreeMap<&ZoneName, Vec<usize>> = BTreeMap::new();
    for (at, node) in nodes.iter().enumerate() {
        zones.entry(node.zone).or_default().push(at);
    }
    let mut zones: Vec<Vec<usize>> = zones.into_values().collect();
    zones.shuffle(rng);
    zones.iter_mut().for_each(|zone| zone.shuffle(rng));
    zones.into_iter().flatten().collect()
}

// Replaces a random node of the sample by one of another zone if all are of one zone.
fn add_second_zone(nodes: &[EntryNode<'_>], sample: &mut [usize], rng: &mut impl Rng) {
    let [first, _, ..] = *sample else { return };
    let zone = nodes[first].zone;
    if sample.iter().any(|at| nodes[*at].zone != zone) {
        return;
    }
    let others: Vec<usize> = (0..nodes.len()).filter(|at| nodes[*at].zone != zone).collect();
    let Ok(other) = others.choose_weighted(rng, |at| nodes[*at].weight) else { return };
    let replaced = rng.random_range(0..sample.len());
    sample[replaced] = *other;
}
