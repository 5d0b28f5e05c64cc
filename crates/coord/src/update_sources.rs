//! The choice between relays that forward the same updates.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp, ZoneName};

/// How long a relay may be silent before another one is accepted: three exchanges.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// How many more nodes another relay's updates must cover before it replaces a relay that is not
/// silent. Relays do not learn of a starting node at the same time.
const MIN_EXTRA_NODES: u32 = 2;

/// An `UpdateScope` is the set of nodes that forwarded updates cover.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// All nodes but the one that receives them.
    Others,
    /// The nodes of one availability zone.
    Zone(ZoneName),
}

/// An `UpdateSource` is the relay whose sums are accepted.
#[derive(Clone, Copy, Debug)]
struct UpdateSource {
    incarnation: Incarnation,
    nodes: u32,
    last_received: Stamp,
}

/// A `SourceChoice` states whether the updates of a relay are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceChoice {
    /// They are ignored: those of another relay, which cover the same nodes, are accepted.
    Ignored,
    /// They are accepted; what was received from the previous relay must be dropped.
    Accepted {
        /// The relay that is replaced, if there is one.
        previous: Option<Incarnation>,
    },
}

/// `UpdateSources` are the relays whose updates are accepted, one for each scope.
///
/// Sums of two relays of one zone cover the same requests. If both were accepted, each request
/// would count twice.
#[derive(Clone, Debug, Default)]
pub struct UpdateSources {
    sources: BTreeMap<UpdateScope, UpdateSource>,
}

impl UpdateSources {
    /// Records that a relay's updates cover `nodes` nodes; returns whether they are accepted.
    pub fn offer(
        &mut self,
        now: Stamp,
        scope: UpdateScope,
        incarnation: Incarnation,
        nodes: u32,
    ) -> SourceChoice {
        let offered = UpdateSource { incarnation, nodes, last_received: now };
        let Some(source) = self.sources.get_mut(&scope) else {
            self.sources.insert(scope, offered);
            return SourceChoice::Accepted { previous: None };
        };
        if source.incarnation == incarnation {
            *source = offered;
            return SourceChoice::Accepted { previous: None };
        }
        let is_active = now.since(source.last_received) < SOURCE_TIMEOUT;
        if is_active && nodes < source.nodes + MIN_EXTRA_NODES {
            return SourceChoice::Ignored;
        }
        let previous = std::mem::replace(source, offered).incarnation;
        SourceChoice::Accepted { previous: Some(previous) }
    }

    /// Returns whether the updates of an incarnation are accepted for any scope.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.sources.values().any(|source| source.incarnation == incarnation)
    }

    /// Drops all sources, for example when this node's role changes.
    pub fn clear(&mut self) {
        self.sources.clear();
    }
}
