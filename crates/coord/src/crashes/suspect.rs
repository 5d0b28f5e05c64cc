//! The crashes under each prompt part.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::Stamp;

use super::{Blocks, CrashReport, CrashedRequest, EvidenceOptions, PartId};

/// A `KnownReport` is a report with the times that a node goes by.
#[derive(Clone, Debug)]
pub struct KnownReport {
    /// When the server crashed.
    pub at: Stamp,
    /// When this node learned of it.
    pub learned_at: Stamp,
    /// The report.
    pub report: CrashReport,
}

/// A `Suspect` is a part whose requests servers had when they crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The servers.
    pub servers: BTreeSet<u64>,
    /// The requests.
    pub requests: BTreeSet<u64>,
    /// The crashes, those of one moment counted once.
    pub crashes: u32,
    /// Those of them that came just after the first bytes of the answer.
    pub just_begun: u32,
    /// Since when there are enough crashes to suspect the part.
    pub suspected_at: Option<Stamp>,
    last_moment: Option<Stamp>,
}

/// The crash of one server, as all nodes have seen it.
struct Crash<'a> {
    at: Stamp,
    requests: Vec<(&'a CrashedRequest, Stamp)>,
}

/// Returns the crashes under each part. Those of a server that had a request which is blocked count only against the parts of
/// that block: it is known what crashed the server.
pub fn tally<'a>(
    reports: impl IntoIterator<Item = &'a KnownReport>,
    blocks: &Blocks,
    options: &EvidenceOptions,
) -> BTreeMap<PartId, Suspect> {
    let mut suspects: BTreeMap<PartId, Suspect> = BTreeMap::new();
    for (server, mut crash) in by_time(reports) {
        crash.requests.sort_by_key(|(req, _)| (req.begun_ms.is_none(), req.begun_ms));
        let explained = crash.requests.iter().find_map(|(req, _)| blocks.matching(&req.parts));
        for (req, learned_at) in crash.requests {
            for part in &req.parts {
                let is_explained = explained.is_some_and(|parts| !parts.contains(part));
                if is_explained || blocks.is_alone(*part) {
                    continue;
                }
                let suspect = suspects.entry(*part).or_default();
                suspect.add((server, crash.at), req, learned_at, options);
            }
        }
    }
    suspects
}

// Several nodes report the crash of one server.
fn by_time<'a>(reports: impl IntoIterator<Item = &'a KnownReport>) -> Vec<(u64, Crash<'a>)> {
    let mut crashes: BTreeMap<u64, Crash<'_>> = BTreeMap::new();
    for KnownReport { at, learned_at, report } in reports {
        let new = || Crash { at: *at, requests: Vec::new() };
        let crash = crashes.entry(report.server).or_insert_with(new);
        crash.at = crash.at.min(*at);
        crash.requests.extend(report.requests.iter().map(|req| (req, *learned_at)));
    }
    let mut crashes: Vec<(u64, Crash<'_>)> = crashes.into_iter().collect();
    crashes.sort_by_key(|(server, crash)| (crash.at, *server));
    crashes
}

impl Suspect {
    fn add(
        &mut self,
        (server, at): (u64, Stamp),
        req: &CrashedRequest,
        learned_at: Stamp,
        options: &EvidenceOptions,
    ) {
        self.requests.insert(req.request);
        let is_new_server = self.servers.insert(server);
        let sent_at = at - Duration::from_millis(req.age_ms);
        let is_same_moment =
            self.last_moment.is_some_and(|last| sent_at < last || at.since(last) < options.moment);
        if !is_new_server || is_same_moment {
            return;
        }
        self.last_moment = Some(at);
        self.crashes += 1;
        let begun = req.begun_ms.map(Duration::from_millis);
        self.just_begun += u32::from(begun.is_some_and(|begun| begun < options.just_begun));
        if self.crashes == options.suspected_from {
            self.suspected_at = Some(learned_at);
        }
    }
}
