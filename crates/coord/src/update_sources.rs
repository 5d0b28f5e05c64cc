//! Of two relays that pass on the same news, the one that is listened to.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp, ZoneName};

/// How long a relay may be silent before another one is listened to: three exchanges.
const SILENT_AFTER: Duration = Duration::from_millis(700);
/// By how many nodes another relay's news must be about more before it takes the place of one that is
/// still heard. Relays hear of a node that starts one after the other.
const MORE_NODES: u32 = 2;

/// A `UpdateScope` tells which nodes passed-on news is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// All nodes but the one that is told.
    Others,
    /// The nodes of one availability zone.
    Zone(ZoneName),
}

/// A `NewsSource` is a relay whose sums are taken in.
#[derive(Clone, Copy, Debug)]
struct NewsSource {
    life: Incarnation,
    nodes: u32,
    at: Stamp,
}

/// A `SourceChoice` tells whether a relay is listened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceChoice {
    /// Its news are left out: those of another one, which are about the same nodes, are taken in.
    Ignored,
    /// Its news are taken in; what `before` told must be dropped.
    Accepted {
        /// The relay that was listened to before.
        previous: Option<Incarnation>,
    },
}

/// `UpdateSources` know which relay is listened to for each scope.
///
/// Sums of two relays of one zone are about the same requests. Taken in from both, each request would
/// count twice.
#[derive(Clone, Debug, Default)]
pub struct UpdateSources {
    sources: BTreeMap<UpdateScope, NewsSource>,
}

impl UpdateSources {
    /// Notes that a relay tells of `nodes` nodes; returns whether it is listened to.
    pub fn offer(
        &mut self,
        now: Stamp,
        scope: UpdateScope,
        life: Incarnation,
        nodes: u32,
    ) -> SourceChoice {
        let offered = NewsSource { life, nodes, at: now };
        let Some(source) = self.sources.get_mut(&scope) else {
            self.sources.insert(scope, offered);
            return SourceChoice::Accepted { previous: None };
        };
        if source.life == life {
            *source = offered;
            return SourceChoice::Accepted { previous: None };
        }
        let is_heard = now.since(source.at) < SILENT_AFTER;
        if is_heard && nodes < source.nodes + MORE_NODES {
            return SourceChoice::Ignored;
        }
        let before = std::mem::replace(source, offered).life;
        SourceChoice::Accepted { previous: Some(before) }
    }

    /// Returns whether a life is listened to for some scope.
    pub fn contains(&self, life: Incarnation) -> bool {
        self.sources.values().any(|source| source.life == life)
    }

    /// Forgets all, as when a node's role changes.
    pub fn clear(&mut self) {
        self.sources.clear();
    }
}
