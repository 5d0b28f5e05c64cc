//! The changes of all scopes.

use bulrushhall_core::{Incarnation, Stamp};

use super::{
    store::{Store, Touched},
    view::{SubjectKey, View},
    wire::{Acknowledgement, Header, ScopeTag},
};

/// The scopes in which facts are sent, each of which includes those before it.
const SCOPES: [ScopeTag; 3] = [ScopeTag::Own, ScopeTag::Zone, ScopeTag::Others];

/// `Views` are the changes of all scopes, with one sequence.
#[derive(Clone, Debug, Default)]
pub(super) struct Views {
    views: [View; 3],
    sequence: u64,
}

impl Views {
    /// Returns the number of the last change.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) fn get_mut(&mut self, scope: ScopeTag) -> &mut View {
        &mut self.views[scope as usize]
    }

    /// Notes a change in the scopes that include it.
    pub(super) fn touch(&mut self, now: Stamp, store: &mut Store, (key, tag): Touched) {
        self.sequence += 1;
        let Some(subject) = store.subjects.get(key) else { return };
        let kind = subject.kind;
        let mut tags: Vec<ScopeTag> = Vec::new();
        for (source, _) in &subject.received {
            tags.extend(store.sources.get(*source).map(|source| source.tag));
        }
        for scope in SCOPES {
            // A batch has the own facts and those that came in batches of narrower scopes.
            if tag.is_some_and(|tag| scope <= tag) {
                continue;
            }
            let view = &mut self.views[scope as usize];
            let contribution = match kind.tolerance {
                0.0 => None,
                _ => store.contribution_within(now, subject, scope),
            };
            view.note(now, key, &kind, contribution, self.sequence);
            if subject.own.is_none() && tags.iter().all(|tag| scope <= *tag) {
                view.withdraw(now, key);
            }
        }
        self.remove_unused(store, key);
    }

    /// Notes the small changes that are due, and drops what no receiver needs any more.
    pub(super) fn expire(&mut self, now: Stamp, store: &mut Store) {
        let max_age = store.max_age();
        for scope in SCOPES {
            let index = scope as usize;
            for key in self.views[index].due(now) {
                let Some(subject) = store.subjects.get(key) else { continue };
                self.sequence += 1;
                let contribution = store.contribution_within(now, subject, scope);
                self.views[index].send(key, &subject.kind, contribution, self.sequence);
            }
            for key in self.views[index].expire(now, max_age) {
                self.remove_unused(store, key);
            }
        }
    }

    /// Notes what a node has acknowledged to this one, `own`.
    pub(super) fn acknowledge(
        &mut self,
        now: Stamp,
        own: Incarnation,
        sender: Incarnation,
        header: &Header,
    ) {
        for view in &mut self.views {
            view.receivers.hear(now, sender);
        }
        for Acknowledgement(node, tag, positions) in &header.acknowledgements {
            if *node == own && positions.is_within(self.sequence) {
                self.views[*tag as usize].receivers.acknowledge(now, sender, *positions);
            }
        }
    }

    /// Returns what is acknowledged in a batch for all, or for one receiver only.
    pub(super) fn acknowledgements(
        &self,
        store: &Store,
        now: Stamp,
        to: Option<Incarnation>,
    ) -> Vec<Acknowledgement> {
        let is_addressed =
            |sender| self.views.iter().any(|view| view.receivers.is_addressed(now, sender));
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

    /// Drops a node to which facts are sent.
    pub(super) fn forget_receiver(&mut self, node: Incarnation) {
        self.views.iter_mut().for_each(|view| view.receivers.forget(node));
    }

    fn remove_unused(&self, store: &mut Store, key: SubjectKey) {
        if self.views.iter().all(|view| !view.contains(key)) {
            store.remove_subject(key);
        }
    }
}
