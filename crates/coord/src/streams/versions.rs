//! The software versions of each service that nodes have seen lately.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{ServiceName, Stamp};
use serde::{Deserialize, Serialize};

/// How long a version has to be known before it gets new streams, if others were known before: longer than a node counts
/// as live after its last digest and stands still unnoticed, so that no other one that takes it for live takes the service
/// to have one version only.
const SETTLING_TIME: Duration = Duration::from_millis(1_700);
/// How long a version may be unknown in between: after a longer time it is as new as before.
pub(super) const PRESENCE_GAP: Duration = Duration::from_secs(2);
/// How long after all nodes are in touch again the reports of all have arrived, also through relays.
const CATCH_UP_TIME: Duration = Duration::from_millis(2_500);
/// The shortest time for which a version counts that is not known any more: others may still take it for settled.
const MIN_HORIZON: Duration = PRESENCE_GAP.saturating_add(CATCH_UP_TIME);
/// How long versions are remembered: longer than any stream lasts.
const MEMORY: Duration = Duration::from_secs(3_600);

/// When servers of a version were known, without gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    first: Stamp,
    last: Stamp,
}

impl Seen {
    // Returns both times as one, or the later one if there was a gap between them.
    fn merged(self, other: Seen) -> Seen {
        let (early, late) = if self.first < other.first { (self, other) } else { (other, self) };
        if PRESENCE_GAP < late.first.since(early.last) {
            return late;
        }
        Seen { first: early.first, last: early.last.max(late.last) }
    }
}

/// A `SeenVersion` is a version as one node reports it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: String,
    /// The time since its servers were first known, in milliseconds.
    pub first_ms: u64,
    /// The time since its servers were last known, in milliseconds.
    pub last_ms: u64,
}

/// A `VersionsReport` is all that a node knows of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsReport {
    /// How far back the sender's knowledge reaches, in milliseconds; none if there were no streams before it.
    pub known_ms: Option<u64>,
    /// The versions.
    pub versions: Vec<SeenVersion>,
}

/// How far back the knowledge of a node reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    /// To the first start of the system.
    Always,
    /// To a moment.
    Since(Stamp),
    /// Nowhere.
    #[default]
    Never,
}

/// `ServiceVersions` are the versions of each service that nodes have seen.
///
/// A stream of which nothing else is known began at one of them.
#[derive(Clone, Debug, Default)]
pub struct ServiceVersions {
    services: BTreeMap<ServiceName, BTreeMap<String, Seen>>,
    known: Known,
    /// Until when other nodes may know versions that this one has missed.
    behind_until: Stamp,
}

impl ServiceVersions {
    /// Returns the knowledge of a node that starts when the whole system starts for the first time.
    pub fn at_first_start() -> ServiceVersions {
        ServiceVersions { known: Known::Always, ..ServiceVersions::default() }
    }

    /// Notes that servers of a version are known.
    pub fn note(&mut self, now: Stamp, service: &ServiceName, version: &str) {
        if self.known == Known::Never {
            self.known = Known::Since(now);
            self.note_out_of_touch(now);
        }
        self.note_seen(service, version, Seen { first: now, last: now });
    }

    /// Notes that this node is out of touch with others, which may know versions that it does not know.
    pub fn note_out_of_touch(&mut self, now: Stamp) {
        self.behind_until = now + CATCH_UP_TIME;
    }

    fn note_seen(&mut self, service: &ServiceName, version: &str, seen: Seen) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else { return };
        match versions.get_mut(version) {
            Some(known) => *known = known.merged(seen),
            None => {
                versions.insert(version.to_owned(), seen);
            }
        }
        versions.retain(|_, known| seen.last.since(known.last) < MEMORY);
    }

    /// Returns the only version of a service within `horizon`; none if there were several, or if others may have been.
    pub fn only(&self, now: Stamp, service: &ServiceName, horizon: Duration) -> Option<&str> {
        if now < self.behind_until || !self.reaches_back(now, horizon) {
            return None;
        }
        let versions = self.services.get(service)?.iter();
        let horizon = horizon.max(MIN_HORIZON);
        let mut recent = versions.filter(|(_, seen)| now.since(seen.last) <= horizon);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version.as_str())
    }

    fn reaches_back(&self, now: Stamp, horizon: Duration) -> bool {
        match self.known {
            Known::Always => true,
            Known::Since(since) => horizon <= now.since(since),
            Known::Never => false,
        }
    }

    /// Returns whether a version has been known for long enough to get new streams.
    pub fn is_settled(&self, now: Stamp, service: &ServiceName, version: &str) -> bool {
        let seen = self.services.get(service).and_then(|versions| versions.get(version));
        seen.is_some_and(|seen| SETTLING_TIME <= now.since(seen.first))
    }

    /// Returns how long a version gets no new streams although no settled one serves: others may take one that was known
    /// before for the only one.
    pub fn held_for(&self, now: Stamp, service: &ServiceName, version: &str) -> Option<Duration> {
        let versions = self.services.get(service)?;
        let first = versions.get(version).map_or(now, |seen| seen.first);
        let is_older = |other: &Seen| other.first + SETTLING_TIME <= first;
        let left = SETTLING_TIME.checked_sub(now.since(first)).filter(|left| !left.is_zero());
        left.filter(|_| versions.values().any(is_older))
    }

    /// Returns whether there is a version that has not settled yet, which other nodes have to learn of soon.
    pub fn has_unsettled(&self, now: Stamp) -> bool {
        let mut seen = self.services.values().flat_map(BTreeMap::values);
        seen.any(|seen| now.since(seen.first) < SETTLING_TIME)
    }

    /// Returns what this node reports to others.
    pub fn report(&self, now: Stamp) -> Option<VersionsReport> {
        let known_ms = match self.known {
            Known::Always => None,
            Known::Since(since) => Some(millis(now.since(since))),
            Known::Never => return None,
        };
        let mut versions = Vec::new();
        for (service, of_service) in &self.services {
            for (version, seen) in of_service {
                versions.push(SeenVersion {
                    service: service.clone(),
                    version: version.clone(),
                    first_ms: millis(now.since(seen.first)),
                    last_ms: millis(now.since(seen.last)),
                });
            }
        }
        Some(VersionsReport { known_ms, versions })
    }

    /// Adds what another node reports.
    pub fn receive(&mut self, now: Stamp, report: &VersionsReport) {
        let known = report
            .known_ms
            .map_or(Known::Always, |known_ms| Known::Since(now - Duration::from_millis(known_ms)));
        self.known = self.known.min(known);
        for SeenVersion { service, version, first_ms, last_ms } in &report.versions {
            let first = now - Duration::from_millis(*first_ms);
            let last = now - Duration::from_millis(*last_ms);
            self.note_seen(service, version, Seen { first, last });
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
