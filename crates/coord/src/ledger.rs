//! The ledger of non-repeatable calls that one node has claimed.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Ran, Stamp, TeamName};
use bytes::Bytes;

/// `LedgerOptions` bound the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerOptions {
    /// How long a claim is remembered after it was settled.
    pub window: Duration,
    /// The most claims that are remembered.
    pub claims: usize,
    /// The most bytes of stored answers; of the oldest ones only the outcome is remembered then.
    pub bytes: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions { window: Duration::from_secs(24 * 3600), claims: 100_000, bytes: 16 << 20 }
    }
}

/// A `Claim` is the answer to a caller that wants a key's call to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The key is new and now claimed; the call may run.
    Run,
    /// The call runs at this moment.
    Running,
    /// The call was settled; its answer is stored.
    Settled(Ran, Option<Bytes>),
    /// The key was used for a call with another body.
    OtherBody,
    /// The ledger is full of claims that may not be forgotten yet.
    Full,
}

/// A `Ledger` remembers which keys were claimed and how their calls ended.
#[derive(Debug, Default)]
pub struct Ledger {
    options: LedgerOptions,
    claims: HashMap<(TeamName, Bytes), Entry>,
    stored: VecDeque<(TeamName, Bytes)>,
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    body: u64,
    settled: Option<(Stamp, Ran, Option<Bytes>)>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(options: LedgerOptions) -> Ledger {
        Ledger { options, ..Ledger::default() }
    }

    /// Claims a key for a call whose body hashes to `body`.
    pub fn claim(&mut self, now: Stamp, team: &TeamName, key: &Bytes, body: u64) -> Claim {
        let name = (team.clone(), key.clone());
        if let Some(known) = self.get(team, key, body) {
            return known;
        }
        if self.options.claims <= self.claims.len() {
            self.forget(now);
        }
        if self.options.claims <= self.claims.len() {
            return Claim::Full;
        }
        self.claims.insert(name, Entry { body, settled: None });
        Claim::Run
    }

    /// Notes how a claimed call ended; one that certainly did not run frees its key.
    pub fn settle(
        &mut self,
        now: Stamp,
        team: &TeamName,
        key: &Bytes,
        ran: Ran,
        answer: Option<Bytes>,
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
        let bytes = answer.as_ref().map_or(0, Bytes::len);
        entry.settled = Some((now, ran, answer));
        self.bytes += bytes;
        self.stored.push_back(name);
        self.bound_bytes();
    }

    /// Returns what is known of a key without claiming it; none if it is new.
    pub fn get(&self, team: &TeamName, key: &Bytes, body: u64) -> Option<Claim> {
        let entry = self.claims.get(&(team.clone(), key.clone()))?;
        if entry.body != body {
            return Some(Claim::OtherBody);
        }
        Some(match &entry.settled {
            None => Claim::Running,
            Some((_, ran, answer)) => Claim::Settled(*ran, answer.clone()),
        })
    }

    fn bound_bytes(&mut self) {
        while self.options.bytes < self.bytes {
            let Some(oldest) = self.stored.pop_front() else { return };
            let entry = self.claims.get_mut(&oldest);
            let Some((_, _, answer)) = entry.and_then(|it| it.settled.as_mut()) else { continue };
            self.bytes -= answer.take().map_or(0, |answer| answer.len());
        }
    }

    fn forget(&mut self, now: Stamp) {
        let window = self.options.window;
        self.claims.retain(|_, entry| match &entry.settled {
            None => true,
            Some((at, _, _)) => now.since(*at) < window,
        });
        let claims = &self.claims;
        self.stored.retain(|name| claims.contains_key(name));
        let stored = claims.values().filter_map(|entry| entry.settled.as_ref()?.2.as_ref());
        self.bytes = stored.map(Bytes::len).sum();
    }
}
