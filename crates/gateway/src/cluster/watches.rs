//! Watches of the key-value service that some nodes make for others.

use std::time::Duration;

use bulrushhall_coord::{Role, WatchEvidence, WatchEvidenceOptions, WatchNeed, WatchProof};
use bulrushhall_core::{Era, NodeName, Stamp};
use serde::{Deserialize, Serialize};

use crate::cluster::as_millis;

/// The age of proofs about the configuration. A healthy one gets 1.7 s old: a watch of 1.25 s, two answers of the
/// service and an exchange. If all watches become silent, a new configuration is read after 1.9 s, within the 2 s of
/// `config_apply`.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(1_800);
/// The age of proofs about the records of backend servers. A healthy one gets 2.4 s old. If all watches become silent,
/// they are read after 2.7 s; a node's own watch ends 2.9 s after it became silent.
const MAX_BACKENDS_AGE: Duration = Duration::from_millis(2_600);
/// The same age for relays, whose watches last 0.7 s, and which supply records only while these are at most 1 s old.
const MAX_RELAY_BACKENDS_AGE: Duration = Duration::from_millis(1_200);

/// A `WatchSubject` is what a watch that may be shared is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchSubject {
    /// The configuration and the orders for roll-outs.
    Config,
    /// The records of backend servers.
    Backends,
}

/// A `ReportedProof` is a [`WatchProof`] in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64)", from = "(u64, u64)")]
pub struct ReportedProof {
    /// The time since the proven moment, in milliseconds.
    pub age_ms: u64,
    /// The version up to which a reader has to read.
    pub last_change: u64,
}

impl From<ReportedProof> for (u64, u64) {
    fn from(ReportedProof { age_ms, last_change }: ReportedProof) -> Self {
        (age_ms, last_change)
    }
}

impl From<(u64, u64)> for ReportedProof {
    fn from((age_ms, last_change): (u64, u64)) -> Self {
        ReportedProof { age_ms, last_change }
    }
}

/// A `WatchReport` holds the proofs of a node's own watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReport {
    /// That of the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<ReportedProof>,
    /// That of the records of backend servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<ReportedProof>,
}

/// `Watches` are the proofs of this node's own watches and those of other nodes.
#[derive(Clone, Debug, Default)]
pub struct Watches {
    config: SubjectWatches,
    backends: SubjectWatches,
}

#[derive(Clone, Debug, Default)]
struct SubjectWatches {
    own: Option<WatchProof>,
    evidence: WatchEvidence,
}

impl Watches {
    fn subject_mut(&mut self, subject: WatchSubject) -> &mut SubjectWatches {
        match subject {
            WatchSubject::Config => &mut self.config,
            WatchSubject::Backends => &mut self.backends,
        }
    }

    /// Notes the proof of this node's own watch; none while it doesn't watch or its calls fail.
    pub fn note_own(&mut self, subject: WatchSubject, proof: Option<WatchProof>) {
        self.subject_mut(subject).own = proof;
    }

    /// Returns the report for other nodes, of the proofs of an era.
    pub fn report(&self, now: Stamp, era: Option<Era>) -> Option<WatchReport> {
        let reported = |proof: WatchProof| ReportedProof {
            // Rounded up, so that no proof counts as newer than it is.
            age_ms: as_millis(now.since(proof.known_at)) + 1,
            last_change: proof.last_change,
        };
        let report = WatchReport {
            config: self.config.own.filter(|proof| proof.era == era).map(reported),
            backends: self.backends.own.filter(|proof| proof.era == era).map(reported),
        };
        (report != WatchReport::default()).then_some(report)
    }

    /// Notes the report in a reply to a digest that was sent at `since`.
    pub fn receive(
        &mut self,
        (since, now): (Stamp, Stamp),
        node: &NodeName,
        era: Option<Era>,
        report: Option<WatchReport>,
    ) {
        let WatchReport { config, backends } = report.unwrap_or_default();
        let proof = |reported: ReportedProof| WatchProof {
            known_at: since - Duration::from_millis(reported.age_ms),
            last_change: reported.last_change,
            era,
        };
        self.config.evidence.receive(now, node, config.map(proof));
        self.backends.evidence.receive(now, node, backends.map(proof));
    }

    /// Removes the proofs of nodes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&NodeName) -> bool) {
        self.config.evidence.retain(&is_known);
        self.backends.evidence.retain(&is_known);
    }

    /// Returns what the node `own` in `role`, whose state is complete up to `version` of `era`, needs.
    pub fn need(
        &self,
        now: Stamp,
        subject: WatchSubject,
        (own, role): (&NodeName, Role),
        (era, version): (Option<Era>, u64),
    ) -> WatchNeed {
        let (watches, max_age) = match (subject, role) {
            (WatchSubject::Config, _) => (&self.config, MAX_CONFIG_AGE),
            (WatchSubject::Backends, Role::Relay) => (&self.backends, MAX_RELAY_BACKENDS_AGE),
            (WatchSubject::Backends, _) => (&self.backends, MAX_BACKENDS_AGE),
        };
        let options = WatchEvidenceOptions { max_age, ..WatchEvidenceOptions::default() };
        watches.evidence.need(now, &options, own, (era, version))
    }
}
