//! The crashes under each prompt part.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::Stamp;

use super::{BlockKind, Blocks, CrashReport, CrashedRequest, EvidenceOptions, PartId, ServerEnd};

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

/// A `Suspect` is a part whose requests servers had when they crashed, or one request that they had.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Whether it is a part or a request.
    pub kind: BlockKind,
    /// The servers, with when each crashed last and how often.
    pub servers: BTreeMap<u64, (Stamp, u32)>,
    /// The attempts at requests.
    pub requests: BTreeSet<u64>,
    /// The crashes under each request.
    by_request: BTreeMap<u64, u32>,
    /// When servers crashed, in ascending order.
    pub crashed_at: Vec<Stamp>,
    /// The same with all crashes under one request.
    pub all_crashed_at: Vec<Stamp>,
    /// The number of crashes, those of one moment counted once.
    pub moments: u32,
    /// The crashes in which no other request had begun to be answered later.
    pub closest: u32,
    /// The same with those in which one of its requests had not begun to be answered, and no other one had just begun.
    pub closest_or_unbegun: u32,
    /// The crashes that no block in force explains.
    pub unexplained: u32,
    /// Since when there are enough crashes to suspect the part.
    pub suspected_at: Option<Stamp>,
    /// When the last of these began, and the request.
    last_moment: Option<(Stamp, u64)>,
}

/// The crash of one server, as all nodes have seen it.
struct Crash<'a> {
    server: u64,
    at: Stamp,
    last_at: Stamp,
    end: ServerEnd,
    requests: Vec<(&'a CrashedRequest, Stamp)>,
}

/// Returns the crashes under each part since a moment that depends on the part. Those of a server which had just begun to
/// answer a request that is blocked count only against the parts of that block, or those of the request if it is blocked by itself:
/// it is known what crashed the server. Those of one that had begun to answer such a request before count only against the request
/// that it had begun last, and the parts of those that are blocked by themselves.
pub fn tally<'a>(
    reports: impl IntoIterator<Item = &'a KnownReport>,
    blocks: &Blocks,
    options: &EvidenceOptions,
    since: impl Fn(PartId) -> Option<Stamp>,
) -> BTreeMap<PartId, Suspect> {
    let mut suspects: BTreeMap<PartId, Suspect> = BTreeMap::new();
    for mut crash in by_time(reports, options) {
        crash.requests.sort_by_key(|(req, _)| req.closeness());
        let closest = crash.requests.first().map(|(req, _)| *req);
        let explained = closest.and_then(|req| blocks.matching(&req.ids()).map(<[_]>::to_vec));
        // The request that explains the crash, if it is blocked by itself.
        let blocked_request = closest.and_then(|req| req.digest);
        let blocked_request =
            blocked_request.filter(|digest| explained.as_deref() == Some(&[*digest]));
        let mut requests = crash.requests.iter();
        let is_beside_blocked = requests.any(|(req, _)| blocks.matching(&req.ids()).is_some());
        let had_just_begun = closest.is_some_and(CrashedRequest::had_just_begun);
        let mut counted = BTreeSet::new();
        for (number, (req, learned_at)) in crash.requests.iter().enumerate() {
            let is_blocked_alone = req.digest.is_some_and(|digest| blocks.is_alone(digest));
            if is_beside_blocked && explained.is_none() && 0 < number && !is_blocked_alone {
                continue;
            }
            let is_blocked_by_itself = blocked_request.is_some() && blocked_request == req.digest;
            for part in &req.ids() {
                let is_explained = !is_blocked_by_itself
                    && explained.as_ref().is_some_and(|parts| !parts.contains(part));
                let is_before = since(*part).is_some_and(|since| crash.at <= since);
                if is_explained || is_before || blocks.is_alone(*part) {
                    continue;
                }
                let suspect = suspects.entry(*part).or_default();
                if Some(*part) == req.digest {
                    suspect.kind = BlockKind::Request;
                }
                suspect.closest += u32::from(number == 0);
                let is_unbegun = !had_just_begun && req.begun_ms.is_none();
                if (number == 0 || is_unbegun) && counted.insert(*part) {
                    suspect.closest_or_unbegun += 1;
                }
                suspect.unexplained += u32::from(explained.is_none());
                let is_known_sound = since(*part).is_some();
                suspect.add(&crash, req, (*learned_at, is_known_sound), options);
            }
        }
    }
    suspects
}

// Several nodes report the crash of one server, which may start again and crash again under the same name.
fn by_time<'a>(
    reports: impl IntoIterator<Item = &'a KnownReport>,
    options: &EvidenceOptions,
) -> Vec<Crash<'a>> {
    let mut by_server: BTreeMap<u64, Vec<&KnownReport>> = BTreeMap::new();
    for known in reports {
        by_server.entry(known.report.server).or_default().push(known);
    }
    let mut crashes: Vec<Crash<'_>> = Vec::new();
    for (server, mut known) in by_server {
        known.sort_by_key(|known| known.at);
        let first = crashes.len();
        for KnownReport { at, learned_at, report } in known {
            let last = crashes.get_mut(first..).and_then(<[_]>::last_mut);
            let requests = report.requests.iter().map(|req| (req, *learned_at));
            match last {
                Some(crash) if at.since(crash.last_at) < options.moment => {
                    crash.last_at = *at;
                    crash.requests.extend(requests);
                    if report.end == ServerEnd::Seen {
                        crash.end = ServerEnd::Seen;
                    }
                }
                _ => crashes.push(Crash {
                    server,
                    at: *at,
                    last_at: *at,
                    end: report.end,
                    requests: requests.collect(),
                }),
            }
        }
    }
    crashes.sort_by_key(|crash| (crash.at, crash.server));
    crashes
}

impl Suspect {
    /// Returns how much the crashes speak against the part.
    pub fn rank(&self) -> (u32, usize, u32) {
        (self.moments, self.crashed_at.len(), self.closest)
    }

    /// Returns whether what is blocked leaves crashes under the part unexplained. Several requests that are blocked by themselves
    /// leave open whether a part that they share is the cause.
    pub fn is_unexplained(&self) -> bool {
        0 < self.unexplained || 1 < self.by_request.len()
    }

    fn add(
        &mut self,
        crash: &Crash<'_>,
        req: &CrashedRequest,
        (learned_at, is_known_sound): (Stamp, bool),
        options: &EvidenceOptions,
    ) {
        self.requests.insert(req.request);
        let sent_at = crash.at - Duration::from_millis(req.age_ms);
        let (last_at, count) = self.servers.get(&crash.server).copied().unwrap_or((Stamp(0), 0));
        // A server that is known to have ended has started again if it got a request later.
        let may_count = crash.end == ServerEnd::Seen || count < options.max_unknown_ends;
        if 0 < count && (!may_count || sent_at <= last_at) {
            return;
        }
        self.servers.insert(crash.server, (crash.at, count + 1));
        self.all_crashed_at.push(crash.at);
        let of_request = self.by_request.entry(req.identity()).or_default();
        if self.kind == BlockKind::Parts && options.max_of_request <= *of_request {
            return;
        }
        *of_request += 1;
        self.crashed_at.push(crash.at);
        if self.crashed_at.len() == options.suspected_from {
            self.suspected_at = Some(learned_at);
        }
        // A request that was sent after a crash under it did not get lost with the same servers.
        let is_new_request = self.kind == BlockKind::Request && !is_known_sound;
        let is_same_moment = self.last_moment.is_some_and(|(last, request)| {
            let is_repeat = self.kind == BlockKind::Parts && request == req.identity();
            let moment = if is_new_request || is_repeat { Duration::ZERO } else { options.moment };
            sent_at < last || crash.at.since(last) < moment
        });
        if !is_same_moment {
            self.last_moment = Some((crash.at, req.identity()));
            self.moments += 1;
        }
    }
}
