//! The prompt parts that a node refuses.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bulrushhall_core::Stamp;

use super::{Blame, Block, BlockState, PartId, PartIds, ProbeSchedule, Received};

/// The maximum number of blocks that are remembered; those that were lifted yield first, then the oldest ones.
const MAX_BLOCKS: usize = 4_096;

/// `Blocks` are the records of refused prompt parts, those in force and those that were lifted.
#[derive(Debug, Default)]
pub struct Blocks {
    schedule: ProbeSchedule,
    entries: BTreeMap<PartIds, Entry>,
    /// The blocks in force by each of their parts.
    by_part: HashMap<PartId, Vec<PartIds>>,
    mark: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    block: Block,
    learned_at: Stamp,
}

impl Blocks {
    /// Returns no blocks, whose probes follow a schedule.
    pub fn new(schedule: ProbeSchedule) -> Blocks {
        Blocks { schedule, ..Blocks::default() }
    }

    /// Returns the ids of a block in force that a request with these ids has, if there is one. That of a request is found
    /// only if none of its parts is blocked, since its digest is the last id.
    pub fn matching(&self, parts: &[PartId]) -> Option<&[PartId]> {
        if self.by_part.is_empty() {
            return None;
        }
        for part in parts {
            for ids in self.by_part.get(part).into_iter().flatten() {
                if ids.0.iter().all(|id| parts.contains(id)) {
                    return Some(&ids.0);
                }
            }
        }
        None
    }

    /// Returns whether all prompts with a part are refused.
    pub fn is_alone(&self, part: PartId) -> bool {
        self.by_part.get(&part).into_iter().flatten().any(|ids| ids.0 == [part])
    }

    /// Returns whether it is certain that all prompts with a part, or a request, crash servers.
    pub fn is_certain(&self, part: PartId) -> bool {
        let alone = PartIds(vec![part]);
        let is_certain = |block: &Block| block.confidence.is_certain();
        self.is_alone(part) && self.get(&alone).is_some_and(is_certain)
    }

    /// Returns the record of some parts.
    pub fn get(&self, parts: &PartIds) -> Option<&Block> {
        self.entries.get(parts).map(|entry| &entry.block)
    }

    /// Returns when this node learned of the latest change of a record.
    pub fn learned_at(&self, parts: &PartIds) -> Option<Stamp> {
        self.entries.get(parts).map(|entry| entry.learned_at)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = &Block> {
        self.entries.values().map(|entry| &entry.block)
    }

    /// Returns a number that is equal at nodes that have the same records.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns whether a block in force has several parts.
    pub fn has_joint(&self) -> bool {
        self.by_part.values().flatten().any(|ids| 1 < ids.0.len())
    }

    /// Returns whether any block is in force.
    pub fn is_any_in_force(&self) -> bool {
        !self.by_part.is_empty()
    }

    /// Returns the number of blocks in force.
    pub fn count_in_force(&self) -> usize {
        self.iter().filter(|block| block.state() == BlockState::InForce).count()
    }

    /// Puts a block in force; returns its record unless it is in force already.
    pub fn put(&mut self, now: Stamp, blame: &Blame, since_unix_ms: u64) -> Option<Block> {
        self.put_probed(now, blame, 0, since_unix_ms)
    }

    /// Puts a block in force in place of another one, of which some probes were sent; returns its record unless it is in force
    /// already.
    pub fn put_probed(
        &mut self,
        now: Stamp,
        blame: &Blame,
        probes: u32,
        since_unix_ms: u64,
    ) -> Option<Block> {
        let parts = PartIds(blame.parts.clone());
        let before = self.get(&parts);
        if before.is_some_and(|block| block.state() == BlockState::InForce) {
            return None;
        }
        let generation = before.map_or(0, |block| block.generation) + 1;
        let Blame { kind, crashes, confidence, .. } = *blame;
        let block = Block { parts, kind, confidence, generation, crashes, probes, since_unix_ms };
        self.insert(now, block.clone());
        Some(block)
    }

    /// Lifts a block; returns its record unless it is not in force.
    pub fn lift(&mut self, now: Stamp, parts: &PartIds) -> Option<Block> {
        let before = self.get(parts).filter(|block| block.state() == BlockState::InForce)?;
        let block = Block { generation: before.generation + 1, probes: 0, ..before.clone() };
        self.insert(now, block.clone());
        Some(block)
    }

    /// Applies a record of another node or of the key-value service.
    pub fn receive(&mut self, now: Stamp, block: Block) -> Received {
        if !block.is_valid() {
            return Received::Nothing;
        }
        let known = self.get(&block.parts);
        if known.is_some_and(|known| !block.is_after(known)) {
            return Received::Nothing;
        }
        let state_before = known.map_or(BlockState::Lifted, Block::state);
        let received = match (state_before, block.state()) {
            (BlockState::InForce, BlockState::InForce) => Received::Probed,
            (_, BlockState::InForce) => Received::InForce,
            (BlockState::InForce, BlockState::Lifted) => Received::Lifted,
            (BlockState::Lifted, BlockState::Lifted) => Received::Nothing,
        };
        self.insert(now, block);
        received
    }

    /// Returns the record that claims a probe of a block, if one is due: the node that writes it to the key-value service
    /// may let one request through.
    pub fn due_probe(&self, now: Stamp, parts: &[PartId]) -> Option<Block> {
        let block = self.get(&PartIds(parts.to_vec()))?;
        let is_due = self.probe_at(parts)? <= now;
        is_due.then(|| Block { probes: block.probes + 1, ..block.clone() })
    }

    /// Returns the same for the block that refuses a request with some ids. At first, a request that other blocks refuse as well is no
    /// probe: it may crash its server because of these.
    pub fn due_probe_for(&self, now: Stamp, ids: &[PartId]) -> Option<Block> {
        let parts = self.matching(ids)?;
        let claim = self.due_probe(now, parts)?;
        let [first, _] = self.schedule.after;
        let is_late = first <= now.since(self.learned_at(&claim.parts)?);
        (is_late || self.count_matching(ids) == 1).then_some(claim)
    }

    fn count_matching(&self, ids: &[PartId]) -> usize {
        let blocks = ids.iter().flat_map(|id| self.by_part.get(id).into_iter().flatten());
        let matching = blocks.filter(|parts| parts.0.iter().all(|part| ids.contains(part)));
        matching.collect::<BTreeSet<_>>().len()
    }

    /// Returns when the next probe of a block is due, if there is one.
    pub fn probe_at(&self, parts: &[PartId]) -> Option<Stamp> {
        let entry = self.entries.get(&PartIds(parts.to_vec()))?;
        let Block { confidence, probes, .. } = entry.block;
        let after = self.schedule.times(confidence).get(usize::try_from(probes).ok()?)?;
        Some(entry.learned_at + *after)
    }

    fn insert(&mut self, now: Stamp, block: Block) {
        let ids = block.parts.clone();
        self.remove(&ids);
        if MAX_BLOCKS <= self.entries.len() {
            self.drop_one();
        }
        self.mark ^= block.mark();
        if block.state() == BlockState::InForce {
            for part in &ids.0 {
                self.by_part.entry(*part).or_default().push(ids.clone());
            }
        }
        self.entries.insert(ids, Entry { block, learned_at: now });
    }

    fn remove(&mut self, ids: &PartIds) {
        let Some(entry) = self.entries.remove(ids) else { return };
        self.mark ^= entry.block.mark();
        for part in &ids.0 {
            if let Some(of_part) = self.by_part.get_mut(part) {
                of_part.retain(|other| other != ids);
                if of_part.is_empty() {
                    self.by_part.remove(part);
                }
            }
        }
    }

    fn drop_one(&mut self) {
        let least = self.entries.iter().min_by_key(|(_, entry)| {
            (entry.block.state() == BlockState::InForce, entry.learned_at)
        });
        let Some(ids) = least.map(|(ids, _)| ids.clone()) else { return };
        self.remove(&ids);
    }
}
