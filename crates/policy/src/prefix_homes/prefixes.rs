//! The prefixes that a node knows of, with the numbers of their homes.

use std::collections::HashMap;

use bulrushhall_core::Stamp;

use crate::prefix_homes::{HomeCount, PrefixLoad, PrefixUses, UseReport};

/// The prefixes whose numbers of homes are kept: those that all nodes report.
const MAX_KNOWN: usize = 512;

/// A `HottestPrefix` is the most used prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HottestPrefix {
    /// The prefix.
    pub prefix: u64,
    /// Its uses per second over all nodes.
    pub rate: f64,
    /// The number of its homes.
    pub homes: usize,
}

/// `PrefixHomes` decide how many home engines each prefix has.
#[derive(Clone, Debug, Default)]
pub struct PrefixHomes {
    uses: PrefixUses,
    known: HashMap<u64, KnownPrefix>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownPrefix {
    others: f64,
    count: HomeCount,
}

impl PrefixHomes {
    /// Records a request with a prefix.
    pub fn note_use(&mut self, now: Stamp, prefix: u64) {
        self.uses.note(now, prefix);
    }

    /// Returns the changes of this node's uses that other nodes have to know.
    pub fn due_reports(&mut self, now: Stamp) -> Vec<UseReport> {
        self.uses.due_reports(now)
    }

    /// Replaces what is known of the uses by other nodes.
    pub fn receive(&mut self, reported: impl IntoIterator<Item = (u64, f64)>) {
        let before = std::mem::take(&mut self.known);
        for (prefix, rate) in reported.into_iter().take(MAX_KNOWN) {
            let others = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
            let count = before.get(&prefix).map(|known| known.count).unwrap_or_default();
            self.known.insert(prefix, KnownPrefix { others, count });
        }
    }

    /// Returns the number of homes of a prefix, or none if no other node reports any prefix: this node alone can't tell how
    /// much a prefix is used. `load` is what one request asks of a home; its rate is filled in.
    ///
    /// A prefix that other nodes don't report is used little, so that one home is enough for what this node sees.
    pub fn homes(
        &mut self,
        now: Stamp,
        prefix: u64,
        load: PrefixLoad,
        engines: usize,
    ) -> Option<usize> {
        if self.known.is_empty() {
            return None;
        }
        let load = PrefixLoad { rate: self.rate(now, prefix), ..load };
        let Some(known) = self.known.get_mut(&prefix) else {
            return Some(HomeCount::default().update(now, load, engines));
        };
        Some(known.count.update(now, load, engines))
    }

    /// Returns the uses of a prefix per second over all nodes, as far as this node knows.
    pub fn rate(&self, now: Stamp, prefix: u64) -> f64 {
        self.uses.rate(now, prefix) + self.known.get(&prefix).map_or(0.0, |known| known.others)
    }

    /// Returns the most used prefix that other nodes report too.
    pub fn hottest(&self, now: Stamp) -> Option<HottestPrefix> {
        let known = self.known.iter().map(|(prefix, known)| HottestPrefix {
            prefix: *prefix,
            rate: known.others + self.uses.rate(now, *prefix),
            homes: known.count.get(),
        });
        let used = known.filter(|hot| 0 < hot.homes);
        used.max_by(|one, other| {
            one.rate.total_cmp(&other.rate).then(one.prefix.cmp(&other.prefix))
        })
    }
}
