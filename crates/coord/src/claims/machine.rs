//! Group commit of claims: keys that wait share one compare-and-swap.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Stamp};
use bytes::Bytes;

use super::{
    options::{ClaimsOptions, Shard},
    record::{Home, KeyHash, Record, decode, encode},
};

/// A `ClaimsAction` is what the node around [`Claims`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimsAction {
    /// Read a record and report it to [`Claims::read`].
    Read(Shard),
    /// Write a record where it has the given version and report to [`Claims::swapped`].
    Write(Shard, u64, Bytes),
    /// A key has this home.
    Bound(KeyHash, Incarnation),
    /// It could not be learnt which home a key has.
    Refused(KeyHash, ClaimRefusal),
}

/// A `ClaimRefusal` tells why a key's home could not be learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The key-value service did not answer in time.
    Outage,
    /// The record holds as many claims as it may, none of which may be forgotten yet.
    Full,
}

/// A `SwapResult` is how a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The record was written and has this version now.
    Written(u64),
    /// The record had this version and value.
    Conflict(u64, Bytes),
    /// It was not written, or may have been or may yet be.
    Failed,
}

/// `Claims` learn the homes of keys, and claim keys that have none for the node that asks.
///
/// A claim only says where a key's call may run, so a claim that was given up on and takes effect
/// later does no harm: the home's own ledger still decides about the run.
#[derive(Debug)]
pub struct Claims {
    options: ClaimsOptions,
    shards: BTreeMap<Shard, State>,
}

#[derive(Debug, Default)]
struct State {
    /// The version and content of the record when it was last seen.
    seen: Option<(u64, Record)>,
    waiting: BTreeMap<KeyHash, Waiting>,
    call: Call,
    resume_at: Stamp,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    deadline: Stamp,
    home: Incarnation,
}

#[derive(Debug, Default)]
enum Call {
    #[default]
    None,
    Reading,
    Writing(Record, BTreeSet<KeyHash>),
}

/// The present time: on the node's own clock and on the wall.
#[derive(Clone, Copy, Debug)]
struct Now {
    stamp: Stamp,
    wall: u64,
}

impl Claims {
    /// Returns claims that have seen no record yet.
    pub fn new(options: ClaimsOptions) -> Claims {
        Claims { options, shards: BTreeMap::new() }
    }

    /// Asks for the home of a key, which becomes `home` if it has none; `wall` is the time in
    /// milliseconds since 1970.
    pub fn bind(
        &mut self,
        now: Stamp,
        wall: u64,
        key: KeyHash,
        home: Incarnation,
    ) -> Vec<ClaimsAction> {
        let shard = self.options.shard_of(key);
        let deadline = now + self.options.timeout;
        let kept = self.kept();
        let state = self.shards.entry(shard).or_default();
        let known = state.seen.as_ref().and_then(|(_, record)| record.get(&key));
        // A claim is never changed before it expires, so an old view of one is as good as new.
        if let Some(known) = known.filter(|known| wall < known.at.saturating_add(kept)) {
            return vec![ClaimsAction::Bound(key, known.incarnation)];
        }
        // The first who asks gives the home: a later one must not change what a write under way
        // may make of the key.
        let waiting = state.waiting.entry(key).or_insert(Waiting { deadline, home });
        waiting.deadline = deadline;
        let mut out = Vec::new();
        self.go_on(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Takes in a record that was read, or that reading it failed.
    pub fn read(
        &mut self,
        now: Stamp,
        wall: u64,
        shard: Shard,
        found: Option<(u64, Bytes)>,
    ) -> Vec<ClaimsAction> {
        let mut out = Vec::new();
        let Some(state) = self.shards.get_mut(&shard) else { return out };
        state.call = Call::None;
        match found.and_then(|(version, bytes)| Some((version, decode(bytes)?))) {
            Some(seen) => state.see(seen, &mut out),
            None => state.resume_at = now + self.options.pause,
        }
        self.go_on(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Takes in how a write ended.
    ///
    /// A failed write may still take effect, and reading the record without the claim in it does
    /// not prove the contrary. The key is claimed once it is seen in the record, or once a later
    /// compare-and-swap has won: the record's version has moved on then, and the earlier write
    /// can take effect no more.
    pub fn swapped(
        &mut self,
        now: Stamp,
        wall: u64,
        shard: Shard,
        swapped: SwapResult,
    ) -> Vec<ClaimsAction> {
        let mut out = Vec::new();
        let Some(state) = self.shards.get_mut(&shard) else { return out };
        let Call::Writing(record, batch) = std::mem::take(&mut state.call) else { return out };
        match swapped {
            SwapResult::Written(version) => {
                for key in batch {
                    let home = record.get(&key).map(|home| home.incarnation);
                    if let (Some(_), Some(home)) = (state.waiting.remove(&key), home) {
                        out.push(ClaimsAction::Bound(key, home));
                    }
                }
                state.seen = Some((version, record));
            }
            SwapResult::Conflict(version, bytes) => match decode(bytes) {
                Some(record) => state.see((version, record), &mut out),
                None => state.resume_at = now + self.options.pause,
            },
            SwapResult::Failed => {
                state.seen = None;
                state.resume_at = now + self.options.pause;
            }
        }
        self.go_on(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Lets time pass: ends waits and tries again after failures.
    pub fn tick(&mut self, now: Stamp, wall: u64) -> Vec<ClaimsAction> {
        let mut out = Vec::new();
        let shards: Vec<Shard> = self.shards.keys().copied().collect();
        for shard in shards {
            let Some(state) = self.shards.get_mut(&shard) else { continue };
            let late: Vec<KeyHash> = state.late(now);
            for key in late {
                state.waiting.remove(&key);
                out.push(ClaimsAction::Refused(key, ClaimRefusal::Outage));
            }
            self.go_on(Now { stamp: now, wall }, shard, &mut out);
        }
        out
    }

    fn go_on(&mut self, now: Now, shard: Shard, out: &mut Vec<ClaimsAction>) {
        let (kept, entries) = (self.kept(), self.options.entries);
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let idle = matches!(state.call, Call::None);
        if !idle || state.waiting.is_empty() || now.stamp < state.resume_at {
            return;
        }
        let Some((version, record)) = &state.seen else {
            state.call = Call::Reading;
            out.push(ClaimsAction::Read(shard));
            return;
        };
        let mut record = record.clone();
        record.retain(|_, home| now.wall < home.at.saturating_add(kept));
        let room = entries.saturating_sub(record.len());
        let batch: BTreeSet<KeyHash> = state.waiting.keys().copied().take(room).collect();
        let left: Vec<KeyHash> = state.waiting.keys().copied().skip(room).collect();
        for key in left {
            state.waiting.remove(&key);
            out.push(ClaimsAction::Refused(key, ClaimRefusal::Full));
        }
        if batch.is_empty() {
            return;
        }
        for key in &batch {
            let Some(waiting) = state.waiting.get(key) else { continue };
            record.insert(*key, Home { incarnation: waiting.home, at: now.wall });
        }
        out.push(ClaimsAction::Write(shard, *version, encode(&record)));
        state.call = Call::Writing(record, batch);
    }

    fn kept(&self) -> u64 {
        millis(self.options.window + self.options.skew)
    }
}

impl State {
    fn see(&mut self, seen: (u64, Record), out: &mut Vec<ClaimsAction>) {
        for (key, home) in &seen.1 {
            if self.waiting.remove(key).is_some() {
                out.push(ClaimsAction::Bound(*key, home.incarnation));
            }
        }
        self.seen = Some(seen);
    }

    fn late(&self, now: Stamp) -> Vec<KeyHash> {
        let late = self.waiting.iter().filter(|(_, waiting)| waiting.deadline <= now);
        late.map(|(key, _)| *key).collect()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
