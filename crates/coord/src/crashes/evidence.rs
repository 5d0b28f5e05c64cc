//! The crashes that nodes have seen, and what the requests in them have in common.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Stamp};

use super::{
    Blame, BlockKind, Blocks, Confidence, CrashReport, CrashRun, CrashedRequest, CrashedServer,
    EvidenceOptions, Judge, KnownReport, PartId, PartOutcomes, PartTally, SoundReport, Suspect,
    SuspectedPart, tally,
};

/// The greatest difference between what nodes take for the time of one sound answer.
const SAME_ANSWER: Duration = Duration::from_millis(100);

/// `CrashEvidence` is what one node knows of the crashes that all nodes have seen.
pub struct CrashEvidence {
    options: EvidenceOptions,
    judge: Box<dyn Judge>,
    reports: VecDeque<KnownReport>,
    /// The latest sound answers to prompts with parts that are suspected.
    sound: HashMap<PartId, KnownSound>,
    /// The parts that are suspected, also those that are blocked, and when servers crashed under them.
    suspects: BTreeMap<PartId, Vec<Stamp>>,
    /// When a block was lifted last.
    lifted_at: Option<Stamp>,
    /// The parts that were told to be suspected.
    suspects_told: BTreeSet<PartId>,
    written: u32,
}

/// How much the evidence speaks against a part: its confidence, how seldom it is answered, and its rank.
type Weight = (Confidence, Reverse<u32>, (u32, usize, u32));

/// A part that is blamed.
struct Blamed<'a> {
    part: PartId,
    suspect: &'a Suspect,
    confidence: Confidence,
}

#[derive(Clone, Copy)]
struct KnownSound {
    author: Incarnation,
    answers: u32,
    at: Stamp,
    learned_at: Stamp,
}

impl Default for CrashEvidence {
    fn default() -> CrashEvidence {
        CrashEvidence::new(EvidenceOptions::default(), Box::new(CrashRun::default()))
    }
}

impl std::fmt::Debug for CrashEvidence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CrashEvidence")
            .field("reports", &self.reports.len())
            .finish_non_exhaustive()
    }
}

impl CrashEvidence {
    /// Returns no evidence, which a judge will decide on.
    pub fn new(options: EvidenceOptions, judge: Box<dyn Judge>) -> CrashEvidence {
        CrashEvidence {
            options,
            judge,
            reports: VecDeque::new(),
            sound: HashMap::new(),
            suspects: BTreeMap::new(),
            lifted_at: None,
            suspects_told: BTreeSet::new(),
            written: 0,
        }
    }

    /// Notes a crash that this node has seen.
    pub fn note_crash(
        &mut self,
        now: Stamp,
        author: Incarnation,
        crashed: CrashedServer,
        mut requests: Vec<CrashedRequest>,
    ) {
        let CrashedServer { server, end, at } = crashed;
        // The request that crashed the server is among those whose answers it began last.
        requests.sort_by_key(CrashedRequest::closeness);
        requests.truncate(self.options.max_requests);
        self.written += 1;
        let number = self.written;
        let age_ms = millis(now.since(at));
        self.add(now, CrashReport { author, number, age_ms, server, end, requests });
    }

    /// Notes a crash that another node has seen; returns whether it was not known.
    pub fn receive(&mut self, now: Stamp, report: CrashReport) -> bool {
        let is_of_window = Duration::from_millis(report.age_ms) < self.options.window;
        let is_known = self.reports.iter().any(|known| {
            (known.report.author, known.report.number) == (report.author, report.number)
        });
        if is_known || !is_of_window || self.options.max_requests < report.requests.len() {
            return false;
        }
        self.add(now, report);
        true
    }

    /// Notes a sound answer that another node has seen.
    pub fn receive_sound(&mut self, now: Stamp, report: SoundReport) {
        let SoundReport { author, part, answers, age_ms } = report;
        let at = now - Duration::from_millis(age_ms);
        let is_later = |known: &KnownSound| known.at + SAME_ANSWER < at;
        if self.is_reported(part) && self.sound.get(&part).is_none_or(is_later) {
            self.sound.insert(part, KnownSound { author, answers, at, learned_at: now });
        }
    }

    /// Returns the reports that other nodes may not have yet.
    pub fn reports(&self, now: Stamp) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for known in &self.reports {
            if now.since(known.learned_at) < self.options.reported_for {
                reports.push(CrashReport {
                    age_ms: millis(now.since(known.at)),
                    ..known.report.clone()
                });
            }
        }
        reports
    }

    /// Returns the sound answers that other nodes may not know of yet.
    pub fn sound_reports(&self, now: Stamp) -> Vec<SoundReport> {
        let mut reports = Vec::new();
        for (part, known) in &self.sound {
            let KnownSound { author, answers, at, learned_at } = *known;
            if now.since(learned_at) < self.options.reported_for {
                let age_ms = millis(now.since(at));
                reports.push(SoundReport { author, part: *part, answers, age_ms });
            }
        }
        reports
    }

    /// Notes this node's own sound answers to prompts with parts that are suspected, if they tell more than is known.
    pub fn note_own_sound(&mut self, now: Stamp, own: Incarnation, outcomes: &PartOutcomes) {
        for (part, crashed_at) in &self.suspects {
            let Some(at) = outcomes.last_begun(*part) else { continue };
            let tells = match self.sound.get(part) {
                None => true,
                Some(known) => crashed_at.iter().any(|crash| known.at < *crash && *crash < at),
            };
            if tells {
                let answers = outcomes.sound(now, *part);
                let known = KnownSound { author: own, answers, at, learned_at: now };
                self.sound.insert(*part, known);
            }
        }
    }

    /// Returns whether a sound answer to a prompt with a part is known that is later than all crashes under it.
    pub fn is_cleared(&self, part: PartId) -> bool {
        let Some(known) = self.sound.get(&part) else { return false };
        let crashed_at = self.suspects.get(&part).and_then(|crashed_at| crashed_at.last());
        crashed_at.is_none_or(|crash| *crash < known.at)
    }

    /// Returns when a server has crashed last under some parts, as far as it is remembered.
    pub fn last_crash(&self, parts: &[PartId]) -> Option<Stamp> {
        let concerns = |known: &&KnownReport| parts.iter().any(|id| known.report.concerns(*id));
        self.reports.iter().filter(concerns).map(|known| known.at).max()
    }

    /// Returns whether a server other than the given one has crashed under a part, or a request, of which nodes know no sound
    /// answer.
    pub fn is_suspect(&self, part: PartId, server: u64) -> bool {
        let mut others = self.reports.iter().filter(|known| known.report.server != server);
        !self.sound.contains_key(&part) && others.any(|known| known.report.concerns(part))
    }

    fn is_reported(&self, part: PartId) -> bool {
        self.reports.iter().any(|known| known.report.concerns(part))
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns whether reports have arrived so lately that the judgement may have changed.
    pub fn is_recent(&self, now: Stamp) -> bool {
        let last = self.reports.back().map(|last| last.learned_at).max(self.lifted_at);
        last.is_some_and(|last| now.since(last) < self.options.judged_for)
    }

    /// Drops what is too old, and the requests of crashes that blocks explain without doubt.
    pub fn expire(&mut self, now: Stamp, blocks: &Blocks) {
        let EvidenceOptions { window, reported_for, .. } = self.options;
        let explained = self.explained(blocks);
        self.reports.retain(|known| now.since(known.at) < window);
        for known in &mut self.reports {
            let is_reported = reported_for <= now.since(known.learned_at);
            if is_reported && explained.contains(&known.report.server) {
                // The report itself is kept: other nodes may still send it. Its parts may be what crashes a blocked request's servers.
                let is_blocked_by_part =
                    |req: &CrashedRequest| req.parts.iter().any(|part| blocks.is_certain(*part));
                let requests = &mut known.report.requests;
                requests.retain(|req| is_blocked(req, blocks) && !is_blocked_by_part(req));
            }
        }
        self.sound.retain(|part, _| self.suspects.contains_key(part));
    }

    // Returns the servers that crashed when they had just begun to answer a request which is blocked, or which has a part that is
    // blocked by itself.
    fn explained(&self, blocks: &Blocks) -> BTreeSet<u64> {
        let mut closest: BTreeMap<u64, &CrashedRequest> = BTreeMap::new();
        for known in &self.reports {
            for req in &known.report.requests {
                let first = closest.entry(known.report.server).or_insert(req);
                if req.closeness() < first.closeness() {
                    *first = req;
                }
            }
        }
        let explained = closest.into_iter().filter(|(_, req)| is_blocked(req, blocks));
        explained.map(|(server, _)| server).collect()
    }

    /// Forgets what speaks against a part, or a request, whose block was lifted: what it explained speaks against others.
    pub fn forget(&mut self, now: Stamp, part: PartId) {
        self.lifted_at = Some(now);
        for known in &mut self.reports {
            for req in &mut known.report.requests {
                req.parts.retain(|other| *other != part);
                req.digest = req.digest.filter(|digest| *digest != part);
            }
        }
    }

    /// Returns what the evidence speaks against most, if it suffices.
    pub fn judge(&self, now: Stamp, outcomes: &PartOutcomes, blocks: &Blocks) -> Vec<Blame> {
        let suspects = tally(&self.reports, blocks, &self.options, |part| self.last_sound(part));
        let mut most: Option<(Weight, Blamed<'_>)> = None;
        for (part, suspect) in &suspects {
            let settling = self.settling(*part, suspect, outcomes);
            let is_settled = suspect.is_unexplained()
                && suspect.suspected_at.is_some_and(|at| settling <= now.since(at));
            if !is_settled {
                continue;
            }
            let tally = self.tally_of(now, *part, suspect, outcomes);
            let Some(confidence) = self.judge.blames(tally) else { continue };
            // In doubt a part that is answered often is the last one to be suspected: others may explain its crashes.
            let answered = if confidence.is_certain() { 0 } else { tally.answered };
            let weight = (confidence, Reverse(answered), suspect.rank());
            if most.as_ref().is_none_or(|(most, _)| *most < weight) {
                most = Some((weight, Blamed { part: *part, suspect, confidence }));
            }
        }
        most.map_or_else(Vec::new, |(_, most)| self.inseparable(most, &suspects))
    }

    /// Returns the evidence about parts under which so many servers have crashed that they may be blamed, each once until fewer have.
    pub fn newly_suspected(
        &mut self,
        now: Stamp,
        outcomes: &PartOutcomes,
        blocks: &Blocks,
    ) -> Vec<SuspectedPart> {
        let suspects = tally(&self.reports, blocks, &self.options, |part| self.last_sound(part));
        let mut suspected = Vec::new();
        for (part, suspect) in &suspects {
            let is_many = self.options.many <= suspect.all_crashed_at.len();
            if suspect.kind != BlockKind::Parts || !is_many {
                continue;
            }
            let tally = self.tally_of(now, *part, suspect, outcomes);
            let last_sound = self.sound.get(part).map(|known| (known.author, now.since(known.at)));
            suspected.push(SuspectedPart { part: *part, tally, last_sound });
        }
        let before = std::mem::take(&mut self.suspects_told);
        self.suspects_told = suspected.iter().map(|suspected| suspected.part).collect();
        suspected.retain(|suspected| !before.contains(&suspected.part));
        suspected
    }

    // Most requests are sent once, so that no other node has answered one that this node has not.
    fn settling(&self, part: PartId, suspect: &Suspect, outcomes: &PartOutcomes) -> Duration {
        let is_answered = self.sound.contains_key(&part) || outcomes.last_sound(part).is_some();
        let is_new_request = suspect.kind == BlockKind::Request && !is_answered;
        if is_new_request { Duration::ZERO } else { self.options.settling }
    }

    fn last_sound(&self, part: PartId) -> Option<Stamp> {
        self.sound.get(&part).map(|known| known.at)
    }

    fn tally_of(
        &self,
        now: Stamp,
        part: PartId,
        suspect: &Suspect,
        outcomes: &PartOutcomes,
    ) -> PartTally {
        let is_answered_since =
            |at: &Stamp| outcomes.last_answer().is_some_and(|answered| *at < answered);
        let enough = match suspect.kind {
            BlockKind::Parts => self.options.many,
            BlockKind::Request => self.options.many_of_request,
        };
        let many_at = suspect.all_crashed_at.get(enough - 1).copied();
        let many_at = many_at.filter(|at| self.may_be_answered(part, suspect, *at, outcomes));
        let count = |crashes: &[Stamp]| u32::try_from(crashes.len()).unwrap_or(u32::MAX);
        PartTally {
            kind: suspect.kind,
            crashes: suspect.moments,
            servers: count(&suspect.crashed_at),
            all_servers: count(&suspect.all_crashed_at),
            closest: suspect.closest,
            closest_or_unbegun: suspect.closest_or_unbegun,
            is_known_sound: self.sound.contains_key(&part),
            answered: outcomes.sound(now, part),
            since_many: many_at.map(|at| now.since(at)),
            is_other_sound: suspect.crashed_at.first().is_some_and(is_answered_since),
        }
    }

    // Returns whether a part, or a request that was answered before, could have been answered after servers crashed in one moment:
    // while all servers are away, nothing is.
    fn may_be_answered(
        &self,
        id: PartId,
        suspect: &Suspect,
        crashed_at: Stamp,
        outcomes: &PartOutcomes,
    ) -> bool {
        let answered_at = match suspect.kind {
            BlockKind::Parts => outcomes.last_answer(),
            BlockKind::Request if !self.sound.contains_key(&id) => return true,
            BlockKind::Request => outcomes.last_answer_like(id),
        };
        1 < suspect.moments || answered_at.is_some_and(|at| crashed_at < at)
    }

    // Returns the blame for a part and for those that the evidence does not tell apart from it: parts of the same requests are
    // blamed together, those of different requests each by itself.
    fn inseparable(
        &self,
        Blamed { part, suspect, confidence }: Blamed<'_>,
        suspects: &BTreeMap<PartId, Suspect>,
    ) -> Vec<Blame> {
        let (crashes, kind) = (suspect.moments, suspect.kind);
        let mut together = vec![part];
        let mut apart = Vec::new();
        for (other, its) in suspects {
            let is_alike = *other != part
                && its.kind == suspect.kind
                && its.rank() == suspect.rank()
                && its.servers == suspect.servers
                && self.sound.contains_key(other) == self.sound.contains_key(&part);
            if !is_alike {
                continue;
            }
            if its.requests == suspect.requests && kind == BlockKind::Parts {
                together.push(*other);
            } else {
                apart.push(Blame { parts: vec![*other], kind, crashes, confidence });
            }
        }
        together.sort_unstable();
        let mut blames = vec![Blame { parts: together, kind, crashes, confidence }];
        blames.extend(apart);
        blames
    }

    fn add(&mut self, now: Stamp, report: CrashReport) {
        let at = now - Duration::from_millis(report.age_ms);
        while self.options.max_reports <= self.reports.len() {
            let settled = self.reports.iter().position(|known| known.report.requests.is_empty());
            self.reports.remove(settled.unwrap_or_default());
        }
        self.reports.push_back(KnownReport { at, learned_at: now, report });
    }

    /// Finds the parts that are suspected, of which nodes tell their sound answers.
    pub fn find_suspects(&mut self) {
        let tallied = tally(&self.reports, &Blocks::default(), &self.options, |_| None);
        let from = self.options.suspected_from;
        let suspects = tallied.into_iter().filter(|(_, it)| from <= it.all_crashed_at.len());
        let mut suspects: BTreeMap<PartId, Vec<Stamp>> =
            suspects.map(|(part, _)| (part, Vec::new())).collect();
        // A sound answer is told after each of them, also after those that don't count by themselves.
        for KnownReport { at, report, .. } in &self.reports {
            for part in report.requests.iter().flat_map(CrashedRequest::ids) {
                if let Some(crashed_at) = suspects.get_mut(&part) {
                    crashed_at.push(*at);
                }
            }
        }
        suspects.values_mut().for_each(|crashed_at| crashed_at.sort_unstable());
        self.suspects = suspects;
    }
}

fn is_blocked(req: &CrashedRequest, blocks: &Blocks) -> bool {
    req.ids().iter().any(|id| blocks.is_certain(*id))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
