//! The crashes that nodes have seen, and what the requests in them have in common.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Stamp};

use super::{
    Background, Blame, Blocks, CrashReport, CrashedRequest, EvidenceOptions, Judge, KnownReport,
    LikelihoodRatio, PartId, PartOutcomes, PartTally, SoundReport, Suspect, tally,
};

/// `CrashEvidence` is what one node knows of the crashes that all nodes have seen.
pub struct CrashEvidence {
    options: EvidenceOptions,
    judge: Box<dyn Judge>,
    reports: VecDeque<KnownReport>,
    sound: HashMap<PartId, BTreeMap<Incarnation, Told>>,
    /// The parts that are suspected, also those that are blocked, with the crashes under them.
    suspects: BTreeMap<PartId, u32>,
    written: u32,
}

#[derive(Clone, Copy)]
struct Told {
    answers: u32,
    learned_at: Stamp,
}

impl Default for CrashEvidence {
    fn default() -> CrashEvidence {
        CrashEvidence::new(EvidenceOptions::default(), Box::new(LikelihoodRatio::default()))
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
            written: 0,
        }
    }

    /// Notes a crash that this node has seen.
    pub fn note_crash(
        &mut self,
        now: Stamp,
        author: Incarnation,
        server: u64,
        mut requests: Vec<CrashedRequest>,
    ) {
        requests.truncate(self.options.max_requests);
        self.written += 1;
        let number = self.written;
        self.add(now, CrashReport { author, number, age_ms: 0, server, requests });
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

    /// Notes how many sound answers another node has seen.
    pub fn receive_sound(&mut self, now: Stamp, report: SoundReport) {
        if self.suspects.contains_key(&report.part) {
            self.note_sound(now, report);
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

    /// Returns the sound answers that other nodes may not have yet: of each part, no more than clear it.
    pub fn sound_reports(&self, now: Stamp) -> Vec<SoundReport> {
        let mut reports = Vec::new();
        for (part, told) in &self.sound {
            let is_new = |told: &Told| now.since(told.learned_at) < self.options.reported_for;
            let mut new: Vec<(&Incarnation, &Told)> =
                told.iter().filter(|(_, told)| is_new(told)).collect();
            new.sort_by_key(|(_, told)| Reverse(told.answers));
            let mut sum = 0;
            for (author, told) in new {
                if self.enough_sound(*part) <= sum {
                    break;
                }
                sum = sum.saturating_add(told.answers);
                reports.push(SoundReport { author: *author, part: *part, answers: told.answers });
            }
        }
        reports
    }

    // Returns the number of sound answers that clear a part.
    fn enough_sound(&self, part: PartId) -> u32 {
        let crashes = self.suspects.get(&part).copied().unwrap_or_default();
        self.options.enough_sound.saturating_mul(crashes)
    }

    /// Notes this node's own sound answers to prompts with parts that are suspected.
    pub fn note_own_sound(&mut self, now: Stamp, own: Incarnation, outcomes: &PartOutcomes) {
        for part in self.suspects.keys().copied().collect::<Vec<_>>() {
            let answers = outcomes.sound(now, part);
            let told = self.sound.get(&part);
            let own_told = told.and_then(|told| told.get(&own)).map_or(0, |told| told.answers);
            let is_enough = self.enough_sound(part) <= self.sound_answers(part);
            if 0 < answers && !is_enough && own_told.saturating_mul(2) <= answers {
                self.note_sound(now, SoundReport { author: own, part, answers });
            }
        }
    }

    /// Returns the number of sound answers to prompts with a part that nodes have told.
    pub fn sound_answers(&self, part: PartId) -> u32 {
        let told = self.sound.get(&part).into_iter().flat_map(BTreeMap::values);
        told.fold(0, |sum: u32, told| sum.saturating_add(told.answers))
    }

    /// Returns whether a server has crashed under a part of which nodes have told no sound answer.
    pub fn is_suspect(&self, part: PartId) -> bool {
        let mut requests = self.reports.iter().flat_map(|known| &known.report.requests);
        requests.any(|req| req.parts.contains(&part)) && self.sound_answers(part) == 0
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns whether reports have arrived so lately that the judgement may have changed.
    pub fn is_recent(&self, now: Stamp) -> bool {
        let last = self.reports.back();
        last.is_some_and(|last| now.since(last.learned_at) < self.options.judged_for)
    }

    /// Drops what is too old, and the requests of crashes that blocks explain.
    pub fn expire(&mut self, now: Stamp, blocks: &Blocks) {
        let EvidenceOptions { window, reported_for, sound_for, .. } = self.options;
        let explained = self.explained(blocks);
        self.reports.retain(|known| now.since(known.at) < window);
        for known in &mut self.reports {
            let is_reported = reported_for <= now.since(known.learned_at);
            if is_reported && explained.contains(&known.report.server) {
                // The report itself is kept: other nodes may still send it.
                known.report.requests.clear();
            }
        }
        self.find_suspects();
        for told in self.sound.values_mut() {
            told.retain(|_, told| now.since(told.learned_at) < sound_for);
        }
        self.sound.retain(|part, told| self.suspects.contains_key(part) && !told.is_empty());
    }

    // Returns the servers that crashed under a part which is blocked by itself.
    fn explained(&self, blocks: &Blocks) -> BTreeSet<u64> {
        let mut servers = BTreeSet::new();
        for known in &self.reports {
            let mut parts = known.report.requests.iter().flat_map(|req| &req.parts);
            if parts.any(|part| blocks.is_alone(*part)) {
                servers.insert(known.report.server);
            }
        }
        servers
    }

    /// Forgets what speaks against a part whose block was lifted.
    pub fn forget(&mut self, part: PartId) {
        for known in &mut self.reports {
            for req in &mut known.report.requests {
                req.parts.retain(|other| *other != part);
            }
        }
    }

    /// Returns the parts that the evidence speaks against most, if it suffices.
    pub fn judge(&self, now: Stamp, crash_share: f64, blocks: &Blocks) -> Option<Blame> {
        let suspects = tally(&self.reports, blocks, &self.options);
        let mut doubtful = 0;
        for (part, suspect) in &suspects {
            let is_suspected = self.options.suspected_from <= suspect.crashes;
            doubtful += usize::from(is_suspected && self.sound_answers(*part) == 0);
        }
        let background = Background { crash_share, suspects: doubtful };
        let mut most: Option<(PartTally, PartId)> = None;
        for (part, suspect) in &suspects {
            let Suspect { crashes, just_begun, .. } = *suspect;
            let tally = PartTally { crashes, just_begun, sound: self.sound_answers(*part) };
            let is_settled =
                suspect.suspected_at.is_some_and(|at| self.options.settling <= now.since(at));
            if !is_settled || self.judge.excess(tally, background) < 0.0 {
                continue;
            }
            let is_more = most.is_none_or(|(most, _)| {
                (most.crashes, Reverse(most.sound)) < (tally.crashes, Reverse(tally.sound))
            });
            if is_more {
                most = Some((tally, *part));
            }
        }
        let (tally, part) = most?;
        let parts = self.inseparable(part, tally, &suspects)?;
        Some(Blame { parts, crashes: tally.crashes })
    }

    // Returns the part with those that the evidence does not tell apart from it; none if these are of other requests, so
    // that another crash will tell.
    fn inseparable(
        &self,
        part: PartId,
        tally: PartTally,
        suspects: &BTreeMap<PartId, Suspect>,
    ) -> Option<Vec<PartId>> {
        let suspect = suspects.get(&part)?;
        let mut parts = vec![part];
        for (other, its) in suspects {
            let is_alike = *other != part
                && its.crashes == tally.crashes
                && self.sound_answers(*other) == tally.sound
                && its.servers == suspect.servers;
            if !is_alike {
                continue;
            }
            if its.requests != suspect.requests {
                return None;
            }
            parts.push(*other);
        }
        parts.sort_unstable();
        Some(parts)
    }

    fn add(&mut self, now: Stamp, report: CrashReport) {
        let at = now - Duration::from_millis(report.age_ms);
        while self.options.max_reports <= self.reports.len() {
            self.reports.pop_front();
        }
        self.reports.push_back(KnownReport { at, learned_at: now, report });
        self.find_suspects();
    }

    fn note_sound(&mut self, now: Stamp, report: SoundReport) {
        let told = self.sound.entry(report.part).or_default();
        let known = told.get(&report.author).map_or(0, |known| known.answers);
        if known < report.answers {
            told.insert(report.author, Told { answers: report.answers, learned_at: now });
        }
    }

    fn find_suspects(&mut self) {
        let tallied = tally(&self.reports, &Blocks::default(), &self.options);
        let from = self.options.suspected_from;
        let suspects = tallied.into_iter().filter(|(_, it)| from <= it.crashes);
        self.suspects = suspects.map(|(part, it)| (part, it.crashes)).collect();
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
