//! The placements that can be chosen by name.

use std::collections::BTreeMap;

use crate::placement::{
    LeastOutstanding, Placement, PlacementOptions, PredictedLatency, PrefixAffinity, Random,
    RoundRobin, TwoChoices,
};

/// A `PlacementDescriptor` describes one placement and how to make it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDescriptor {
    /// The name that it is chosen by.
    pub name: &'static str,
    /// What it does, in one line.
    pub summary: &'static str,
    /// Makes one.
    pub make: fn(&PlacementOptions) -> Box<dyn Placement>,
}

/// A `PlacementRegistry` holds the placements that can be chosen by name.
#[derive(Clone, Debug)]
pub struct PlacementRegistry {
    descriptors: BTreeMap<&'static str, PlacementDescriptor>,
}

impl PlacementRegistry {
    /// Adds a placement; a later one with the same name takes the place of an earlier one.
    pub fn register(&mut self, descriptor: PlacementDescriptor) {
        self.descriptors.insert(descriptor.name, descriptor);
    }

    /// Makes the placement of a name; none if there is no such placement.
    pub fn make(&self, name: &str, options: &PlacementOptions) -> Option<Box<dyn Placement>> {
        self.descriptors.get(name).map(|descriptor| (descriptor.make)(options))
    }

    /// Returns the descriptors in the order of their names.
    pub fn descriptors(&self) -> impl Iterator<Item = &PlacementDescriptor> {
        self.descriptors.values()
    }
}

impl Default for PlacementRegistry {
    fn default() -> Self {
        let mut registry = PlacementRegistry { descriptors: BTreeMap::new() };
        let all: [PlacementDescriptor; 6] = [
            PlacementDescriptor {
                name: "predicted",
                summary: "the predicted first token, with prefix affinity, price and reclaims",
                make: |options| Box::new(PredictedLatency::new(options.clone())),
            },
            PlacementDescriptor {
                name: "random",
                summary: "any engine",
                make: |_| Box::new(Random),
            },
            PlacementDescriptor {
                name: "round-robin",
                summary: "one engine after the other",
                make: |_| Box::new(RoundRobin::default()),
            },
            PlacementDescriptor {
                name: "least-outstanding",
                summary: "the fewest requests of this node",
                make: |_| Box::new(LeastOutstanding),
            },
            PlacementDescriptor {
                name: "two-choices",
                summary: "the less loaded of two random engines",
                make: |_| Box::new(TwoChoices),
            },
            PlacementDescriptor {
                name: "prefix-affinity",
                summary: "the engine that the prompt's prefix hashes to",
                make: |_| Box::new(PrefixAffinity),
            },
        ];
        for descriptor in all {
            registry.register(descriptor);
        }
        registry
    }
}
