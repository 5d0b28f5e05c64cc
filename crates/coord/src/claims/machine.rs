//! Group commit of claims: pending keys share one compare-and-swap.

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

/// A `ClaimsAction` is what the node that runs [`Claims`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimsAction {
    /// Read a record and pass it to [`Claims::read`].
    Read(Shard),
    /// Write a record if it has the given version, and pass the result to [`Claims::swapped`].
    Write(Shard, u64, Bytes),
    /// The key has this home.
    Bound(KeyHash, Incarnation),
    /// The home of the key could not be determined.
    Refused(KeyHash, ClaimRefusal),
}

/// A `ClaimRefusal` is the reason why the home of a key could not be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The key-value service did not reply in time.
    Outage,
    /// The record holds its maximum of claims, none of which has expired.
    Full,
}

/// A `SwapResult` is the outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The record was written and now has this version.
    Written(u64),
    /// The record had this version and value.
    Conflict(u64, Bytes),
    /// The call failed; the record may have been written or may yet be.
    Failed,
}

/// `Claims` determine the homes of keys, and claim keys that have none for the requesting node.
///
/// A claim only determines where a key's call may run. A claim that timed out and takes effect
/// later is therefore harmless: the ledger of the home still decides whether the call runs.
#[derive(Debug)]
pub struct Claims {
    options: ClaimsOptions,
    shards: BTreeMap<Shard, ShardState>,
}

#[derive(Debug, Default)]
struct ShardState {
    /// The latest known version and content of the record.
    latest: Option<(u64, Record)>,
    pending: BTreeMap<KeyHash, PendingKey>,
    call: Call,
    /// When the next call may be made after a failed one.
    retry_at: Stamp,
}

#[derive(Clone, Copy, Debug)]
struct PendingKey {
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

/// The present time by the node's monotonic clock and by its wall clock.
#[derive(Clone, Copy, Debug)]
struct Now {
    stamp: Stamp,
    wall: u64,
}

impl Claims {
    /// Returns claims for which no record is known yet.
    pub fn new(options: ClaimsOptions) -> Claims {
        Claims { options, shards: BTreeMap::new() }
    }

    /// Requests the home of a key, which becomes `home` if it has none; `wall` is the wall-clock
    /// time in milliseconds since 1970.
    pub fn bind(
        &mut self,
        now: Stamp,
        wall: u64,
        key: KeyHash,
        home: Incarnation,
    ) -> Vec<ClaimsAction> {
        let shard = self.options.shard_of(key);
        let deadline = now + self.options.timeout;
        let retention = self.retention();
        let state = self.shards.entry(shard).or_default();
        let known = state.latest.as_ref().and_then(|(_, record)| record.get(&key));
        // A claim never changes before it expires, so an outdated record is sufficient.
        if let Some(known) = known.filter(|known| wall < known.claimed_at.saturating_add(retention))
        {
            return vec![ClaimsAction::Bound(key, known.incarnation)];
        }
        // The first request determines the home: a later one must not change it while a write with
        // the first home may be in flight.
        let pending = state.pending.entry(key).or_insert(PendingKey { deadline, home });
        pending.deadline = deadline;
        let mut out = Vec::new();
        self.advance(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Handles the result of reading a record; none if the read failed.
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
            Some(latest) => state.update(latest, &mut out),
            None => state.retry_at = now + self.options.retry_delay,
        }
        self.advance(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Handles the result of writing a record.
    ///
    /// A failed write may still take effect, and reading the record without the claim does not
    /// prove the contrary. The key is claimed once it is found in the record, or once a later
    /// compare-and-swap has succeeded: the version of the record has changed by then, so the
    /// earlier write can't be applied.
    pub fn swapped(
        &mut self,
        now: Stamp,
        wall: u64,
        shard: Shard,
        result: SwapResult,
    ) -> Vec<ClaimsAction> {
        let mut out = Vec::new();
        let Some(state) = self.shards.get_mut(&shard) else { return out };
        let Call::Writing(record, batch) = std::mem::take(&mut state.call) else { return out };
        match result {
            SwapResult::Written(version) => {
                for key in batch {
                    let home = record.get(&key).map(|home| home.incarnation);
                    if let (Some(_), Some(home)) = (state.pending.remove(&key), home) {
                        out.push(ClaimsAction::Bound(key, home));
                    }
                }
                state.latest = Some((version, record));
            }
            SwapResult::Conflict(version, bytes) => match decode(bytes) {
                Some(record) => state.update((version, record), &mut out),
                None => state.retry_at = now + self.options.retry_delay,
            },
            SwapResult::Failed => {
                state.latest = None;
                state.retry_at = now + self.options.retry_delay;
            }
        }
        self.advance(Now { stamp: now, wall }, shard, &mut out);
        out
    }

    /// Advances the time: refuses keys past their deadline and retries after failures.
    pub fn tick(&mut self, now: Stamp, wall: u64) -> Vec<ClaimsAction> {
        let mut out = Vec::new();
        let shards: Vec<Shard> = self.shards.keys().copied().collect();
        for shard in shards {
            let Some(state) = self.shards.get_mut(&shard) else { continue };
            let expired: Vec<KeyHash> = state.expired(now);
            for key in expired {
                state.pending.remove(&key);
                out.push(ClaimsAction::Refused(key, ClaimRefusal::Outage));
            }
            self.advance(Now { stamp: now, wall }, shard, &mut out);
        }
        out
    }

    fn advance(&mut self, now: Now, shard: Shard, out: &mut Vec<ClaimsAction>) {
        let (retention, max_claims) = (self.retention(), self.options.max_claims);
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let is_idle = matches!(state.call, Call::None);
        if !is_idle || state.pending.is_empty() || now.stamp < state.retry_at {
            return;
        }
        let Some((version, record)) = &state.latest else {
            state.call = Call::Reading;
            out.push(ClaimsAction::Read(shard));
            return;
        };
        let mut record = record.clone();
        record.retain(|_, home| now.wall < home.claimed_at.saturating_add(retention));
        let room = max_claims.saturating_sub(record.len());
        let batch: BTreeSet<KeyHash> = state.pending.keys().copied().take(room).collect();
        let refused: Vec<KeyHash> = state.pending.keys().copied().skip(room).collect();
        for key in refused {
            state.pending.remove(&key);
            out.push(ClaimsAction::Refused(key, ClaimRefusal::Full));
        }
        if batch.is_empty() {
            return;
        }
        for key in &batch {
            let Some(pending) = state.pending.get(key) else { continue };
            record.insert(*key, Home { incarnation: pending.home, claimed_at: now.wall });
        }
        out.push(ClaimsAction::Write(shard, *version, encode(&record)));
        state.call = Call::Writing(record, batch);
    }

    fn retention(&self) -> u64 {
        millis(self.options.retention + self.options.max_clock_skew)
    }
}

impl ShardState {
    fn update(&mut self, latest: (u64, Record), out: &mut Vec<ClaimsAction>) {
        for (key, home) in &latest.1 {
            if self.pending.remove(key).is_some() {
                out.push(ClaimsAction::Bound(*key, home.incarnation));
            }
        }
        self.latest = Some(latest);
    }

    fn expired(&self, now: Stamp) -> Vec<KeyHash> {
        let expired = self.pending.iter().filter(|(_, pending)| pending.deadline <= now);
        expired.map(|(key, _)| *key).collect()
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
