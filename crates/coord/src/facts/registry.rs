//! The registry of facts.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};

use super::{
    FactBatch, FactError, FactKind, FactKindId, FactPriority, FactRefusal, FactScope, FactValue,
    Merged, Received,
    sending::BatchWriter,
    source::{SourceKey, SourceName},
    store::{Store, Touched},
    subject::Contribution,
    views::Views,
    wire::{Entry, Header, decode},
};

/// The minimum time between two checks for expired facts; reads check the ages themselves.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of subjects of one sender, whose kinds may be unknown here and have no maximum.
const MAX_SOURCE_NAMES: usize = 16_384;

/// `Facts` are the facts of this node and those that it has received from others.
///
/// A node counts once in each subject: the facts of a node are accepted from the node itself, from the relay of
/// its availability zone, or from the relay of this node, and a relay that replaces another one counts from the
/// moment at which all its facts are known.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    own: Incarnation,
    store: Store,
    /// What is sent in each scope.
    views: Views,
    expired_at: Stamp,
}

impl Facts {
    /// Returns a registry without kinds; `own` is the incarnation of this node.
    pub fn new(own: Incarnation) -> Facts {
        Facts { own, ..Facts::default() }
    }

    /// Registers a kind of fact, or fails if its id is registered already.
    pub fn register(&mut self, kind: FactKind) -> Result<(), FactError> {
        self.store.register(kind)
    }

    /// Bounds the numbers of a kind that other nodes report: each is at most `max` from 0 for each node behind it.
    ///
    /// It limits the effect of a node with false values on a sum.
    pub fn limit_numbers(&mut self, kind: FactKindId, max: f64) {
        self.store.limit_numbers(kind, max);
    }

    /// Sets this node's contribution to a subject; it counts until it is replaced or withdrawn.
    ///
    /// Fails if the kind is not registered, the subject is too long, or the kind has too many subjects.
    pub fn set(
        &mut self,
        now: Stamp,
        kind: FactKindId,
        subject: &str,
        value: FactValue,
    ) -> Result<(), FactError> {
        let key = self.store.add_subject(kind, subject)?;
        let Some(subject) = self.store.subjects.get_mut(key) else { return Ok(()) };
        if subject.set_own(now, value) {
            self.touch_all(now, [(key, None)]);
        }
        Ok(())
    }

    /// Withdraws this node's contribution to a subject.
    pub fn withdraw(&mut self, kind: FactKindId, subject: &str) {
        let Some(key) = self.store.subject(kind, subject) else { return };
        let Some(subject) = self.store.subjects.get_mut(key) else { return };
        if subject.own.take().is_some() {
            self.touch_all(self.expired_at, [(key, None)]);
        }
    }

    /// Returns the value of a subject over all nodes; none if no node contributes to it.
    pub fn merged(&self, now: Stamp, kind: FactKindId, subject: &str) -> Option<Merged> {
        let subject = self.store.subjects.get(self.store.subject(kind, subject)?)?;
        self.store.merge_all(now, subject).merged()
    }

    /// Returns the value of a subject over all nodes except this one.
    pub fn merged_others(&self, now: Stamp, kind: FactKindId, subject: &str) -> Option<Merged> {
        let subject = self.store.subjects.get(self.store.subject(kind, subject)?)?;
        self.store.merge_others(now, subject).merged()
    }

    /// Returns this node's contribution to a subject.
    pub fn own(&self, kind: FactKindId, subject: &str) -> Option<FactValue> {
        let subject = self.store.subjects.get(self.store.subject(kind, subject)?)?;
        subject.own.map(|own| own.value)
    }

    /// Returns the time since the merged value of a subject was set, for kinds with [`MergeRule::Newest`](crate::facts::MergeRule::Newest).
    pub fn set_age(&self, now: Stamp, kind: FactKindId, subject: &str) -> Option<Duration> {
        let subject = self.store.subjects.get(self.store.subject(kind, subject)?)?;
        let merged = self.store.merge_all(now, subject).contribution();
        merged.map(|merged| now.since(merged.set_at))
    }

    /// Returns the subjects of a kind to which nodes contribute, in the order of their names.
    pub fn subjects(&self, now: Stamp, kind: FactKindId) -> impl Iterator<Item = &str> {
        let known = self.store.subjects_of(kind);
        let live = known.filter(move |it| self.store.merge_all(now, it).merged().is_some());
        live.map(|subject| &*subject.name)
    }

    /// Returns the values of a kind that nodes of a scope contribute, for nodes that receive them in another
    /// form.
    pub fn reported(
        &self,
        now: Stamp,
        scope: &FactScope,
        kind: FactKindId,
    ) -> impl Iterator<Item = (&str, FactValue)> {
        self.store.subjects_of(kind).filter_map(move |subject| {
            let contribution = self.store.contribution(now, subject, scope)?;
            Some((&*subject.name, contribution.value))
        })
    }

    /// Returns the facts to be sent about the nodes of a scope, within a budget of bytes.
    ///
    /// It has the changes that some receiver lacks, and is for all receivers unless the scope names one.
    pub fn batch(&mut self, now: Stamp, scope: &FactScope, budget: usize) -> FactBatch {
        let receiver = match scope {
            FactScope::Others(receiver) => Some(*receiver),
            FactScope::Own | FactScope::Zone(_) => None,
        };
        self.write(now, scope, receiver, budget)
    }

    /// Returns the facts to be sent to one receiver only, as in a reply.
    pub fn batch_to(
        &mut self,
        now: Stamp,
        scope: &FactScope,
        receiver: Incarnation,
        budget: usize,
    ) -> FactBatch {
        self.write(now, scope, Some(receiver), budget)
    }

    fn write(
        &mut self,
        now: Stamp,
        scope: &FactScope,
        receiver: Option<Incarnation>,
        budget: usize,
    ) -> FactBatch {
        self.expire(now);
        let listed = self.views.acknowledgements(&self.store, now, receiver);
        let sequence = self.views.sequence();
        let view = self.views.get_mut(scope.into());
        let after = match receiver {
            Some(receiver) => {
                view.receivers.address(now, receiver);
                view.receivers.of(receiver)
            }
            None => view.receivers.floor(now),
        };
        let writer = BatchWriter { store: &self.store, view, now, scope, sequence };
        writer.write(after, listed, budget)
    }

    /// Applies a batch of another node, or refuses it whole and leaves the registry unchanged.
    pub fn receive(
        &mut self,
        now: Stamp,
        sender: Incarnation,
        scope: FactScope,
        batch: &FactBatch,
    ) -> Result<Received, FactRefusal> {
        if sender == self.own {
            return Err(FactRefusal::UnknownSender);
        }
        if batch.is_empty() {
            return Ok(Received::default());
        }
        let (header, entries) = decode(batch.as_bytes())?;
        let values: Vec<FactValue> = entries.iter().map(Entry::value).collect::<Result<_, _>>()?;
        let age = Duration::from_millis(header.age_ms.into());
        if self.store.max_age() * 2 < age {
            return Err(FactRefusal::TooOld);
        }
        let named = entries.iter().filter(|entry| entry.name.is_some()).count();
        if MAX_SOURCE_NAMES < self.store.names_of(sender) + named {
            return Err(FactRefusal::TooManySubjects);
        }
        self.expire(now);
        self.views.acknowledge(now, self.own, sender, &header);
        let key = self.store.add_source(now, sender, &scope);
        let mut received = Received::default();
        let mut values = entries.into_iter().zip(values);
        let mut is_complete = true;
        for priority in FactPriority::ALL {
            let count = header.counts[priority as usize] as usize;
            let section: Vec<(Entry, FactValue)> = values.by_ref().take(count).collect();
            let section = Section { key, priority, header: &header, entries: section };
            is_complete &= self.apply(now, section, &mut received);
        }
        let Some(source) = self.store.sources.get_mut(key) else { return Ok(received) };
        if is_complete {
            (source.heard_at, source.age) = (now, age);
            if header.at.is_equal() {
                let touched = self.store.select(key);
                self.touch_all(now, touched);
            }
        }
        self.store.select_family(now);
        Ok(received)
    }

    /// Applies only the acknowledgements of a batch, as of a relay whose facts another one reports.
    pub fn receive_acknowledgements(&mut self, now: Stamp, sender: Incarnation, batch: &FactBatch) {
        if let Ok((header, _)) = decode(batch.as_bytes()) {
            self.views.acknowledge(now, self.own, sender, &header);
        }
    }

    /// Sets all facts of a kind that a node reports in another form; they count like those of its batches.
    ///
    /// Nodes of an earlier version, which send no batches, report some kinds so.
    pub fn receive_reported<'a>(
        &mut self,
        now: Stamp,
        sender: Incarnation,
        scope: &FactScope,
        kind: FactKindId,
        values: impl IntoIterator<Item = (&'a str, FactValue)>,
    ) {
        let key = self.store.add_source(now, sender, scope);
        let Some(source) = self.store.sources.get_mut(key) else { return };
        (source.heard_at, source.age) = (now, Duration::ZERO);
        let known = std::mem::take(&mut source.names);
        let (mut gone, kept) = known.into_iter().partition(|(_, name)| name.kind == kind);
        source.names = kept;
        let priority = self.store.kind(kind).unwrap_or_default().priority;
        for (subject, value) in values {
            let Ok(added) = self.store.add_subject(kind, subject) else { continue };
            let Some(id) = self.store.subjects.get(added).map(|subject| subject.id) else {
                continue;
            };
            gone.remove(&id);
            let name = SourceName { kind, subject: subject.into(), priority };
            let Some(source) = self.store.sources.get_mut(key) else { continue };
            source.names.insert(id, name);
            let contribution = Contribution { value, version: 0, set_at: now, nodes: 1 };
            let touched = self.store.set(key, added, Some(contribution));
            self.touch_all(now, touched);
        }
        for name in gone.into_values() {
            let subject = self.store.subject(kind, &name.subject);
            let touched = subject.and_then(|subject| self.store.set(key, subject, None));
            self.touch_all(now, touched);
        }
        let touched = self.store.select(key);
        self.touch_all(now, touched);
        self.store.select_family(now);
    }

    /// Drops what was received from a node.
    pub fn forget(&mut self, sender: Incarnation) {
        self.retain(|node| node != sender);
    }

    /// Drops what was received from the nodes that `is_kept` does not select.
    pub fn retain(&mut self, is_kept: impl Fn(Incarnation) -> bool) {
        let dropped: Vec<(SourceKey, Incarnation)> =
            self.store.sources.iter().map(|(key, source)| (key, source.sender)).collect();
        for (key, sender) in dropped.into_iter().filter(|(_, sender)| !is_kept(*sender)) {
            self.views.forget_receiver(sender);
            let touched = self.store.remove_source(key);
            self.touch_all(self.expired_at, touched);
        }
        self.store.select_family(self.expired_at);
    }

    /// Drops what was received from all other nodes. This is necessary when the nodes from which facts are
    /// received change and those of an availability zone were received one by one before.
    pub fn forget_all(&mut self) {
        self.retain(|_| false);
    }

    // Applies the entries of one priority; returns whether the changes of that priority are known.
    fn apply(&mut self, now: Stamp, section: Section<'_>, received: &mut Received) -> bool {
        let Section { key, priority, header, entries } = section;
        let (after, at) = (header.after.get(priority), header.at.get(priority));
        let Some(source) = self.store.sources.get_mut(key) else { return false };
        let position = source.positions.get(priority);
        if position != after || position != at {
            source.acknowledge(now);
        }
        if position < after {
            return false;
        }
        if at <= position {
            return true;
        }
        let mut touched = Vec::new();
        if position == 0 {
            touched.extend(self.store.clear(key, priority));
        }
        let mut position = at;
        for (entry, value) in entries {
            let Some(source) = self.store.sources.get_mut(key) else { return false };
            if let Some((kind, subject)) = entry.name {
                let name = SourceName { kind, subject: Arc::from(subject), priority };
                source.names.insert(entry.id, name);
            }
            if entry.nodes == 0 {
                let Some(name) = source.names.remove(&entry.id) else { continue };
                let subject = self.store.subject(name.kind, &name.subject);
                touched.extend(subject.and_then(|subject| self.store.set(key, subject, None)));
                received.applied += 1;
                continue;
            }
            let Some(name) = source.names.get(&entry.id) else {
                // The name was sent while this node was away: all facts are needed again.
                position = 0;
                break;
            };
            let (kind, subject) = (name.kind, Arc::clone(&name.subject));
            let added = match self.store.add_subject(kind, &subject) {
                Ok(added) => added,
                Err(FactError::UnknownKind) => {
                    received.unknown_kinds += 1;
                    continue;
                }
                Err(_) => {
                    received.excess_subjects += 1;
                    continue;
                }
            };
            let set_at = now - Duration::from_millis(entry.set_age_ms.into());
            let value = self.store.bounded(kind, value, entry.nodes);
            let contribution =
                Contribution { value, version: entry.version, set_at, nodes: entry.nodes };
            touched.extend(self.store.set(key, added, Some(contribution)));
            received.applied += 1;
        }
        if let Some(source) = self.store.sources.get_mut(key) {
            source.positions.set(priority, position);
        }
        self.touch_all(now, touched);
        position == at
    }

    fn expire(&mut self, now: Stamp) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let touched = self.store.expire(now);
        self.touch_all(now, touched);
        self.store.select_family(now);
        self.views.expire(now, &mut self.store);
    }

    fn touch_all(&mut self, now: Stamp, touched: impl IntoIterator<Item = Touched>) {
        for touched in touched {
            self.views.touch(now, &mut self.store, touched);
        }
    }
}

/// The entries of one priority of a batch.
struct Section<'a> {
    key: SourceKey,
    priority: FactPriority,
    header: &'a Header,
    entries: Vec<(Entry, FactValue)>,
}
