//! The subjects of all kinds, and the sources from which their contributions are received.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};
use slotmap::SlotMap;

use super::{
    FactError, FactKind, FactKindId, FactPriority, FactScope, MAX_SUBJECT_BYTES,
    source::{Slot, Source, SourceKey},
    subject::{Accumulator, Contribution, Subject},
    view::SubjectKey,
    wire::ScopeTag,
};

/// How long a silent source without facts is kept.
const MIN_SOURCE_AGE: Duration = Duration::from_secs(3);

/// How long the facts of a relay about all other nodes count after its last batch, while there are later ones
/// of other sources: a node that becomes a relay receives these within a second.
const RELAYED_FOR: Duration = Duration::from_secs(1);

/// A `Touched` is a subject to which a contribution has changed, and the scope of the contribution.
pub(super) type Touched = (SubjectKey, ScopeTag);

#[derive(Clone, Debug)]
struct KnownKind {
    kind: FactKind,
    names: BTreeMap<Arc<str>, SubjectKey>,
}

/// A `Store` holds the contributions of all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    kinds: BTreeMap<FactKindId, KnownKind>,
    pub(super) subjects: SlotMap<SubjectKey, Subject>,
    pub(super) sources: SlotMap<SourceKey, Source>,
    /// The source of facts about all other nodes, if these count instead of those of the other sources.
    relayed: Option<SourceKey>,
    last_id: u32,
}

impl Store {
    pub(super) fn register(&mut self, kind: FactKind) -> Result<(), FactError> {
        if self.kinds.contains_key(&kind.id) {
            return Err(FactError::DuplicateKind);
        }
        self.kinds.insert(kind.id, KnownKind { kind, names: BTreeMap::new() });
        Ok(())
    }

    pub(super) fn kind(&self, id: FactKindId) -> Option<FactKind> {
        self.kinds.get(&id).map(|known| known.kind)
    }

    /// Returns the greatest maximum age of all kinds.
    pub(super) fn max_age(&self) -> Duration {
        let ages = self.kinds.values().map(|known| known.kind.max_age);
        ages.max().unwrap_or_default().max(MIN_SOURCE_AGE)
    }

    pub(super) fn subject(&self, kind: FactKindId, subject: &str) -> Option<SubjectKey> {
        self.kinds.get(&kind)?.names.get(subject).copied()
    }

    /// Returns the subjects of a kind in the order of their names, also withdrawn ones.
    pub(super) fn subjects_of(&self, kind: FactKindId) -> impl Iterator<Item = &Subject> {
        let known = self.kinds.get(&kind).into_iter();
        known.flat_map(|known| known.names.values().filter_map(|key| self.subjects.get(*key)))
    }

    /// Returns a subject, which is added if it is not known.
    pub(super) fn add_subject(
        &mut self,
        kind: FactKindId,
        name: &str,
    ) -> Result<SubjectKey, FactError> {
        if MAX_SUBJECT_BYTES < name.len() {
            return Err(FactError::SubjectTooLong);
        }
        let known = self.kinds.get_mut(&kind).ok_or(FactError::UnknownKind)?;
        let key = known.names.get(name).copied();
        let is_live = |key: &SubjectKey| self.subjects.get(*key).is_some_and(Subject::is_live);
        if key.as_ref().is_some_and(is_live) {
            return Ok(key.unwrap_or_default());
        }
        if known.kind.max_subjects <= known.names.values().filter(|key| is_live(key)).count() {
            return Err(FactError::TooManySubjects);
        }
        if let Some(key) = key {
            return Ok(key);
        }
        self.last_id += 1;
        let name: Arc<str> = name.into();
        let key = self.subjects.insert(Subject {
            kind: known.kind,
            name: Arc::clone(&name),
            id: self.last_id,
            own: None,
            received: Vec::new(),
        });
        known.names.insert(name, key);
        Ok(key)
    }

    /// Drops a subject to which no node contributes.
    pub(super) fn remove_subject(&mut self, key: SubjectKey) {
        if self.subjects.get(key).is_none_or(Subject::is_live) {
            return;
        }
        let Some(subject) = self.subjects.remove(key) else { return };
        if let Some(known) = self.kinds.get_mut(&subject.kind.id) {
            known.names.remove(&subject.name);
        }
    }

    /// Returns the merged contributions of all nodes to a subject.
    pub(super) fn merge_all(&self, now: Stamp, subject: &Subject) -> Accumulator {
        let mut merged = self.merge_others(now, subject);
        if let Some(own) = &subject.own {
            merged.add(own, Duration::ZERO);
        }
        merged
    }

    /// Returns the merged contributions of other nodes to a subject.
    pub(super) fn merge_others(&self, now: Stamp, subject: &Subject) -> Accumulator {
        let mut merged = Accumulator::new(subject.kind.rule);
        self.merge_received(now, subject, &mut merged, |key, source| match self.relayed {
            Some(relayed) => key == relayed,
            None => source.slot != Slot::Others,
        });
        merged
    }

    fn merge_received(
        &self,
        now: Stamp,
        subject: &Subject,
        merged: &mut Accumulator,
        includes: impl Fn(SourceKey, &Source) -> bool,
    ) {
        for (key, contribution) in &subject.received {
            let Some(source) = self.sources.get(*key) else { continue };
            let is_current = now.since(source.heard_at) <= subject.kind.max_age;
            if source.counts && is_current && includes(*key, source) {
                merged.add(contribution, source.age(now));
            }
        }
    }

    /// Returns the contribution of a scope to a subject.
    pub(super) fn contribution(
        &self,
        now: Stamp,
        subject: &Subject,
        scope: &FactScope,
    ) -> Option<Contribution> {
        let mut merged = Accumulator::new(subject.kind.rule);
        if let Some(own) = &subject.own {
            merged.add(own, Duration::ZERO);
        }
        if *scope != FactScope::Own {
            self.merge_received(now, subject, &mut merged, |_, source| source.is_within(scope));
        }
        merged.contribution()
    }

    /// Returns the source for a batch, which is added if it is not known.
    pub(super) fn add_source(
        &mut self,
        now: Stamp,
        sender: Incarnation,
        scope: &FactScope,
    ) -> SourceKey {
        let slot = Slot::new(sender, scope);
        let known = self.sources.iter().find(|(_, it)| it.sender == sender && it.slot == slot);
        if let Some((key, _)) = known {
            return key;
        }
        let is_held = |other: &Source| other.slot == slot || slot == Slot::Others;
        let mut source = Source::new(now, sender, scope);
        source.counts = !self.sources.values().any(is_held);
        self.sources.insert(source)
    }

    /// Determines whether the facts of a relay about all other nodes count, or those of other nodes and
    /// relays. After a change of role both are held for a while.
    pub(super) fn select_family(&mut self, now: Stamp) {
        let latest = |is_included: &dyn Fn(&Source) -> bool| {
            let included = self.sources.iter().filter(|(_, it)| it.counts && is_included(it));
            included.max_by_key(|(_, source)| source.heard_at)
        };
        let relayed = latest(&|source| source.slot == Slot::Others);
        let direct = latest(&|source| source.slot != Slot::Others).map(|(_, it)| it.heard_at);
        let is_used = |source: &Source| {
            now.since(source.heard_at) < RELAYED_FOR || direct < Some(source.heard_at)
        };
        self.relayed = relayed.filter(|(_, source)| is_used(source)).map(|(key, _)| key);
    }

    /// Sets or withdraws the contribution of a source to a subject.
    pub(super) fn set(
        &mut self,
        key: SourceKey,
        subject: SubjectKey,
        contribution: Option<Contribution>,
    ) -> Option<Touched> {
        let source = self.sources.get(key)?;
        let (tag, counts) = (source.tag, source.counts);
        let has_changed = self.subjects.get_mut(subject)?.replace(key, contribution);
        (has_changed && (counts || contribution.is_none())).then_some((subject, tag))
    }

    /// Withdraws the contributions of a source that are of a priority.
    pub(super) fn clear(&mut self, key: SourceKey, priority: FactPriority) -> Vec<Touched> {
        let Some(source) = self.sources.get_mut(key) else { return Vec::new() };
        let cleared: Vec<_> =
            source.names.extract_if(.., |_, name| name.priority == priority).collect();
        let found: Vec<SubjectKey> = cleared
            .into_iter()
            .filter_map(|(_, name)| self.subject(name.kind, &name.subject))
            .collect();
        found.into_iter().filter_map(|subject| self.set(key, subject, None)).collect()
    }

    /// Makes a source the one that counts for its slot.
    pub(super) fn select(&mut self, key: SourceKey) -> Vec<Touched> {
        let Some(source) = self.sources.get_mut(key) else { return Vec::new() };
        let (slot, was_counted) =
            (source.slot.clone(), std::mem::replace(&mut source.counts, true));
        if was_counted {
            return Vec::new();
        }
        let mut touched = self.subjects_from(key);
        let is_replaced = |other: SourceKey, source: &Source| other != key && source.slot == slot;
        let replaced: Vec<SourceKey> = self
            .sources
            .iter()
            .filter(|(key, it)| is_replaced(*key, it))
            .map(|(key, _)| key)
            .collect();
        for other in replaced {
            touched.extend(self.remove_source(other));
        }
        touched
    }

    /// Drops a source with its contributions.
    pub(super) fn remove_source(&mut self, key: SourceKey) -> Vec<Touched> {
        let mut touched = self.subjects_from(key);
        for (subject, _) in &touched {
            self.set(key, *subject, None);
        }
        let Some(removed) = self.sources.remove(key) else { return touched };
        if !removed.counts {
            return Vec::new();
        }
        let next = self.sources.iter().find(|(_, source)| source.slot == removed.slot);
        if let Some(next) = next.map(|(key, _)| key) {
            touched.extend(self.select(next));
        }
        touched
    }

    /// Drops the contributions of sources that have been silent for longer than their maximum age.
    pub(super) fn expire(&mut self, now: Stamp) -> Vec<Touched> {
        let max_age = self.max_age();
        let mut touched = Vec::new();
        let keys: Vec<SourceKey> = self.sources.keys().collect();
        for key in keys {
            let Some(source) = self.sources.get(key) else { continue };
            let silent_for = now.since(source.heard_at);
            if max_age < silent_for {
                touched.extend(self.remove_source(key));
                continue;
            }
            let is_expired =
                |kind: FactKindId| self.kind(kind).is_some_and(|kind| kind.max_age < silent_for);
            let expired: Vec<u32> = source
                .names
                .iter()
                .filter(|(_, name)| is_expired(name.kind))
                .map(|(id, _)| *id)
                .collect();
            for id in expired {
                let Some(source) = self.sources.get_mut(key) else { continue };
                // All facts are needed again if the sender returns.
                source.restart();
                let Some(name) = source.names.remove(&id) else { continue };
                let Some(subject) = self.subject(name.kind, &name.subject) else { continue };
                touched.extend(self.set(key, subject, None));
            }
        }
        touched
    }

    /// Returns the number of subjects that a sender has named.
    pub(super) fn names_of(&self, sender: Incarnation) -> usize {
        let sources = self.sources.values().filter(|source| source.sender == sender);
        sources.map(|source| source.names.len()).max().unwrap_or(0)
    }

    fn subjects_from(&self, key: SourceKey) -> Vec<Touched> {
        let Some(source) = self.sources.get(key) else { return Vec::new() };
        let known = source.names.values().filter_map(|name| self.subject(name.kind, &name.subject));
        known.map(|subject| (subject, source.tag)).collect()
    }
}
