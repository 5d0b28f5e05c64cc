//! The registry of placement policies.

use std::collections::BTreeMap;

use crate::placement::{
    LeastOutstanding, Placement, PlacementOptions, PredictedLatency, PrefixAffinity, Random,
    RoundRobin, TwoChoices,
};

/// A `PlacementDescriptor` describes a placement policy and its constructor.
#[derive(Clone, Copy, Debug)]
pub struct PlacementDescriptor {
    /// The name in the configuration.
    pub name: &'static str,
    /// A one-line summary.
    pub summary: &'static str,
    /// Creates an instance.
    pub make: fn(&PlacementOptions) -> Box<dyn Placement>,
}

/// A `PlacementRegistry` holds the placement policies by name.
#[derive(Clone, Debug)]
pub struct PlacementRegistry {
    descriptors: BTreeMap<&'static str, PlacementDescriptor>,
}

impl PlacementRegistry {
    /// Adds a placement policy; it replaces an earlier one with the same name.
    pub fn register(&mut self, descriptor: PlacementDescriptor) {
        self.descriptors.insert(descriptor.name, descriptor);
    }

    /// Creates the placement policy with the given name, or none if the name is unknown.
    pub fn make(&self, name: &str, options: &PlacementOptions) -> Option<Box<dyn Placement>> {
        self.descriptors.get(name).map(|descriptor| (descriptor.make)(options))
    }

    /// Returns the descriptors, sorted by name.
    pub fn descriptors(&self) -> impl Iterator<Item = &PlacementDescriptor> {
        self.descriptors.values()
    }
}

impl Default for PlacementRegistry {
    fn default() -> Self {
        let mut registry = PlacementRegistry { descriptors: BTreeMap::new() };
        let builtin: [PlacementDescriptor; 6] = [
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
        for descriptor in builtin {
            registry.register(descriptor);
        }
        registry
    }
}
