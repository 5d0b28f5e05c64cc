//! The ledger of the non-repeatable calls that one node has claimed.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Ran, Stamp, TeamName};
use bytes::Bytes;

/// `LedgerOptions` set the limits of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerOptions {
    /// How long a claim is kept after its call has ended.
    pub retention: Duration,
    /// The upper bound of the claims that are kept.
    pub max_claims: usize,
    /// The upper bound of the bytes of stored responses; above it only the outcomes of the oldest
    /// calls are kept.
    pub max_bytes: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions {
            retention: Duration::from_secs(24 * 3600),
            max_claims: 100_000,
            max_bytes: 16 << 20,
        }
    }
}

/// A `Claim` is the result of claiming a key for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The key is new and now claimed; the call may run.
    Run,
    /// The call is running.
    Running,
    /// The call has ended; its response is given if it is still stored.
    Settled(Ran, Option<Bytes>),
    /// The key was used for a call with another body.
    OtherBody,
    /// The ledger is full of claims that may not be dropped yet.
    Full,
}

/// A `Ledger` remembers which keys were claimed and how their calls ended.
#[derive(Debug, Default)]
pub struct Ledger {
    options: LedgerOptions,
    claims: HashMap<(TeamName, Bytes), Entry>,
    /// The keys whose calls have ended, in the order in which they ended.
    settled_keys: VecDeque<(TeamName, Bytes)>,
    /// The bytes of all stored responses.
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    body_hash: u64,
    settled: Option<(Stamp, Ran, Option<Bytes>)>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(options: LedgerOptions) -> Ledger {
        Ledger { options, ..Ledger::default() }
    }

    /// Claims a key for a call whose body has the hash `body_hash`.
    pub fn claim(&mut self, now: Stamp, team: &TeamName, key: &Bytes, body_hash: u64) -> Claim {
        let name = (team.clone(), key.clone());
        if let Some(known) = self.get(team, key, body_hash) {
            return known;
        }
        if self.options.max_claims <= self.claims.len() {
            self.drop_expired(now);
        }
        if self.options.max_claims <= self.claims.len() {
            return Claim::Full;
        }
        self.claims.insert(name, Entry { body_hash, settled: None });
        Claim::Run
    }

    /// Records how a claimed call ended; a call that certainly did not run frees its key.
    pub fn settle(
        &mut self,
        now: Stamp,
        team: &TeamName,
        key: &Bytes,
        ran: Ran,
        response: Option<Bytes>,
    ) {
        let name = (team.clone(), key.clone());
        if ran == Ran::No {
            self.claims.remove(&name);
            return;
        }
        let Some(entry) = self.claims.get_mut(&name) else { return };
        if entry.settled.is_some() {
            return;
        }
        let bytes = response.as_ref().map_or(0, Bytes::len);
        entry.settled = Some((now, ran, response));
        self.bytes += bytes;
        self.settled_keys.push_back(name);
        self.evict_responses();
    }

    /// Returns what is known about a key without claiming it; none if it is new.
    pub fn get(&self, team: &TeamName, key: &Bytes, body_hash: u64) -> Option<Claim> {
        let entry = self.claims.get(&(team.clone(), key.clone()))?;
        if entry.body_hash != body_hash {
            return Some(Claim::OtherBody);
        }
        Some(match &entry.settled {
            None => Claim::Running,
            Some((_, ran, response)) => Claim::Settled(*ran, response.clone()),
        })
    }

    fn evict_responses(&mut self) {
        while self.options.max_bytes < self.bytes {
            let Some(oldest) = self.settled_keys.pop_front() else { return };
            let entry = self.claims.get_mut(&oldest);
            let Some((_, _, response)) = entry.and_then(|it| it.settled.as_mut()) else { continue };
            self.bytes -= response.take().map_or(0, |response| response.len());
        }
    }

    fn drop_expired(&mut self, now: Stamp) {
        let retention = self.options.retention;
        self.claims.retain(|_, entry| match &entry.settled {
            None => true,
            Some((at, _, _)) => now.since(*at) < retention,
        });
        let claims = &self.claims;
        self.settled_keys.retain(|name| claims.contains_key(name));
        let responses = claims.values().filter_map(|entry| entry.settled.as_ref()?.2.as_ref());
        self.bytes = responses.map(Bytes::len).sum();
    }
}
