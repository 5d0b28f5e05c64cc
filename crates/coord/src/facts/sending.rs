//! The creation of batches.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp};
use bytes::Bytes;

use super::{
    FactBatch, FactPriority, FactScope, MergeRule,
    positions::{PRIORITIES, Positions},
    store::Store,
    subject::Subject,
    view::View,
    wire::{Acknowledgement, Entry, Header, Number, encode},
};

/// The parts of a budget, in eighths, up to which the entries of each priority may fill a batch. The lower
/// priorities always have some room, as they would never be sent otherwise.
const BUDGET_EIGHTHS: [usize; PRIORITIES] = [6, 7, 8];

/// A `BatchWriter` encodes the changes of a scope that receivers lack.
pub(super) struct BatchWriter<'a> {
    pub(super) store: &'a Store,
    pub(super) view: &'a View,
    pub(super) now: Stamp,
    pub(super) scope: &'a FactScope,
    /// The last change of this node.
    pub(super) sequence: u64,
}

impl BatchWriter<'_> {
    /// Returns the batch of the changes after the given positions, within a budget of bytes.
    pub(super) fn write(
        &self,
        after: Positions,
        acknowledgements: Vec<Acknowledgement>,
        budget: usize,
    ) -> FactBatch {
        let mut header = Header {
            after,
            at: Positions::all(self.sequence),
            age_ms: u32::try_from(self.age().as_millis()).unwrap_or(u32::MAX),
            counts: [u32::MAX; PRIORITIES],
            acknowledgements,
        };
        let mut entries = Vec::new();
        let mut buf = Vec::new();
        encode(&mut buf, &header);
        let budget = budget.saturating_sub(buf.len());
        for (priority, eighths) in FactPriority::ALL.into_iter().zip(BUDGET_EIGHTHS) {
            let limit = budget / 8 * eighths;
            let mut count = 0;
            let mut last = after.get(priority);
            for (key, sequence, is_unnamed) in self.view.changes(priority, last) {
                let Some(subject) = self.store.subjects.get(key) else { continue };
                buf.clear();
                encode(&mut buf, &self.entry(subject, is_unnamed));
                if limit < entries.len() + buf.len() {
                    header.at.set(priority, last);
                    break;
                }
                entries.extend_from_slice(&buf);
                last = sequence;
                count += 1;
            }
            header.counts[priority as usize] = count;
        }
        buf.clear();
        encode(&mut buf, &header);
        buf.extend_from_slice(&entries);
        FactBatch::from(Bytes::from(buf))
    }

    fn entry(&self, subject: &Subject, is_unnamed: bool) -> Entry {
        let Subject { kind, name, id, .. } = subject;
        let contribution = self.store.contribution(self.now, subject, self.scope);
        let Some(contribution) = contribution else {
            return Entry::withdrawn(*id);
        };
        let (version, set_age) = match kind.rule {
            MergeRule::Newest => (contribution.version, self.now.since(contribution.set_at)),
            MergeRule::Sum | MergeRule::Maximum => (0, Duration::ZERO),
        };
        Entry {
            id: *id,
            nodes: contribution.nodes,
            version,
            set_age_ms: u32::try_from(set_age.as_millis()).unwrap_or(u32::MAX),
            name: is_unnamed.then(|| (kind.id, name.to_string())),
            numbers: contribution.value.numbers().iter().copied().map(Number).collect(),
        }
    }

    fn age(&self) -> Duration {
        let sources = self.store.sources.values();
        let included = sources.filter(|source| source.counts && source.is_within(self.scope));
        included.map(|source| source.age(self.now)).max().unwrap_or_default()
    }
}

/// Returns what is acknowledged in a batch for all, or for one receiver only.
pub(super) fn acknowledgements(
    store: &Store,
    views: &[View],
    now: Stamp,
    to: Option<Incarnation>,
) -> Vec<Acknowledgement> {
    let is_addressed = |sender| views.iter().any(|view| view.receivers.is_addressed(now, sender));
    let mut listed = Vec::new();
    for source in store.sources.values().filter(|source| source.is_acknowledged(now)) {
        // A node that gets batches of its own learns it from these.
        let is_included = match to {
            Some(receiver) => source.sender == receiver,
            None => !is_addressed(source.sender),
        };
        if is_included {
            listed.push(Acknowledgement(source.sender, source.tag, source.positions));
        }
    }
    listed
}
