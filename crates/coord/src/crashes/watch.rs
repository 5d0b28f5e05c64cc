//! What a node concludes from crashes of backend servers.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp};

use super::{
    Blame, Block, BlockState, Blocks, CrashEvidence, CrashedRequest, CrashedServer,
    EvidenceOptions, Judge, PartId, PartIds, PartOutcomes, ProbeSchedule, Received, SuspectedPart,
};

/// The latest sound answers of this node to prompts with a part from which it need not be suspected.
const KNOWN_SOUND_FROM: u32 = 8;
/// The time since the last of them began.
const KNOWN_SOUND_FOR: Duration = Duration::from_secs(1);
/// The maximum number of parts that are blamed in one judgement.
const MAX_BLAMED: usize = 64;

/// A `CrashWatch` is the evidence of one node about prompt parts, and what the node refuses.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// The crashes that all nodes have seen.
    pub evidence: CrashEvidence,
    /// The answers that this node has seen.
    pub outcomes: PartOutcomes,
    /// The parts that are refused.
    pub blocks: Blocks,
}

impl CrashWatch {
    /// Returns a watch without evidence.
    pub fn new(
        options: EvidenceOptions,
        judge: Box<dyn Judge>,
        schedule: ProbeSchedule,
    ) -> CrashWatch {
        CrashWatch {
            evidence: CrashEvidence::new(options, judge),
            outcomes: PartOutcomes::default(),
            blocks: Blocks::new(schedule),
        }
    }

    /// Notes a crash that this node has seen, with the requests whose answers were broken off.
    pub fn note_crash(
        &mut self,
        now: Stamp,
        own: Incarnation,
        crashed: CrashedServer,
        mut requests: Vec<CrashedRequest>,
    ) {
        requests.sort_by_key(CrashedRequest::closeness);
        // The closest request may be the one that crashed the server, however often its parts were answered. So may those that the
        // server had not begun to answer, unless the closest one had just begun.
        let had_just_begun = requests.first().is_some_and(CrashedRequest::had_just_begun);
        let others = requests.iter_mut().skip(1);
        for req in others.filter(|req| had_just_begun || req.begun_ms.is_some()) {
            req.parts.retain(|part| !self.is_known_sound(now, *part));
            req.digest = req.digest.filter(|digest| !self.is_known_sound(now, *digest));
        }
        requests.retain(|req| !req.parts.is_empty() || req.digest.is_some());
        if !requests.is_empty() {
            self.evidence.note_crash(now, own, crashed, requests);
        }
    }

    fn is_known_sound(&self, now: Stamp, part: PartId) -> bool {
        let last = self.outcomes.last_begun(part);
        last.is_some_and(|at| now.since(at) < KNOWN_SOUND_FOR)
            && KNOWN_SOUND_FROM <= self.outcomes.sound(now, part)
    }

    /// Notes an answer that began at a time and came to its end, to a request with some ids; returns those of the block that it
    /// speaks against, if there is one.
    pub fn note_sound(&mut self, now: Stamp, begun_at: Stamp, ids: &[PartId]) -> Option<PartIds> {
        match ids {
            [digest] => self.outcomes.note_call(now, begun_at, *digest),
            _ => self.outcomes.note_sound(now, begun_at, ids.iter().copied()),
        }
        self.refuted(begun_at, ids)
    }

    /// Notes an answer that began at a time and that its server has written for longer than a part may take to crash it, to a prompt
    /// with some parts; returns those of the block that it speaks against, if there is one.
    pub fn note_progress(
        &mut self,
        now: Stamp,
        begun_at: Stamp,
        parts: &[PartId],
    ) -> Option<PartIds> {
        self.outcomes.note_progress(now, begun_at, parts.iter().copied());
        self.refuted(begun_at, parts)
    }

    // Servers crash when they begin to answer a part, so an answer that began before the block, or before the last crash, says
    // nothing of it.
    fn refuted(&self, begun_at: Stamp, ids: &[PartId]) -> Option<PartIds> {
        let parts = PartIds(self.blocks.matching(ids)?.to_vec());
        let is_later = self.blocks.learned_at(&parts)? <= begun_at;
        let crashed_at = self.evidence.last_crash(&parts.0);
        (is_later && crashed_at.is_none_or(|at| at <= begun_at)).then_some(parts)
    }

    /// Judges the evidence; returns the records that changed.
    pub fn plan(&mut self, now: Stamp, own: Incarnation, unix_ms: u64) -> Vec<Block> {
        let (is_recent, has_joint) = (self.evidence.is_recent(now), self.blocks.has_joint());
        if !is_recent && !has_joint {
            return Vec::new();
        }
        self.evidence.find_suspects();
        self.evidence.note_own_sound(now, own, &self.outcomes);
        let mut changed = if has_joint { self.narrow(now, unix_ms) } else { Vec::new() };
        if !is_recent {
            return changed;
        }
        self.evidence.expire(now, &self.blocks);
        // Each block explains crashes, so that less speaks against other parts.
        for _ in 0..MAX_BLAMED {
            let blames = self.evidence.judge(now, &self.outcomes, &self.blocks);
            let put = blames.iter().filter_map(|blame| self.blocks.put(now, blame, unix_ms));
            let put: Vec<Block> = put.collect();
            if put.is_empty() {
                break;
            }
            changed.extend(put);
        }
        changed
    }

    /// Returns the evidence about parts that may be blamed soon, each once.
    pub fn newly_suspected(&mut self, now: Stamp) -> Vec<SuspectedPart> {
        if !self.evidence.is_recent(now) {
            return Vec::new();
        }
        self.evidence.newly_suspected(now, &self.outcomes, &self.blocks)
    }

    /// Lifts a block and forgets the evidence for it; returns its record unless it is not in force.
    pub fn lift(&mut self, now: Stamp, parts: &PartIds) -> Option<Block> {
        let block = self.blocks.lift(now, parts)?;
        parts.0.iter().for_each(|part| self.evidence.forget(now, *part));
        Some(block)
    }

    /// Applies a record of another node or of the key-value service.
    pub fn receive(&mut self, now: Stamp, block: Block) -> Received {
        let parts = block.parts.clone();
        let received = self.blocks.receive(now, block);
        // A block that gave way to one of fewer parts is no reason to forget these.
        if received == Received::Lifted && self.blocks.matching(&parts.0).is_none() {
            parts.0.iter().for_each(|part| self.evidence.forget(now, *part));
        }
        received
    }

    /// Returns whether a request whose answer was broken off by a server may be sent again: not if another server has crashed
    /// under it, or under a part of its prompt, that has never been answered.
    pub fn may_repeat(&self, now: Stamp, server: u64, ids: &[PartId]) -> bool {
        for id in ids {
            if self.evidence.is_suspect(*id, server) && self.outcomes.sound(now, *id) == 0 {
                return false;
            }
        }
        true
    }

    // Of the parts of a block, one that is sound without the others is cleared.
    fn narrow(&mut self, now: Stamp, unix_ms: u64) -> Vec<Block> {
        let mut narrowed: Vec<(PartIds, Blame, u32)> = Vec::new();
        for block in self.blocks.iter() {
            if block.parts.0.len() < 2 || block.state() == BlockState::Lifted {
                continue;
            }
            let parts = block.parts.0.iter().copied();
            let left: Vec<PartId> = parts.filter(|part| !self.evidence.is_cleared(*part)).collect();
            if !left.is_empty() && left.len() < block.parts.0.len() {
                let Block { kind, crashes, confidence, probes, .. } = *block;
                let blame = Blame { parts: left, kind, crashes, confidence };
                narrowed.push((block.parts.clone(), blame, probes));
            }
        }
        let mut changed = Vec::new();
        for (parts, blame, probes) in narrowed {
            changed.extend(self.blocks.put_probed(now, &blame, probes, unix_ms));
            changed.extend(self.blocks.lift(now, &parts));
        }
        changed
    }
}
