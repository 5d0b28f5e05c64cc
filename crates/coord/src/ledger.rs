//! The ledger of non-repeatable calls that one node has claimed.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::{Ran, Stamp, TeamName};
use bytes::Bytes;

/// `LedgerOptions` bound the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerOptions {
    /// How long a claim is remembered after it was settled.
    pub window: Duration,
    /// The most claims that are remembered.
    pub claims: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        LedgerOptions { window: Duration::from_secs(24 * 3600), claims: 100_000 }
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
}

#[derive(Debug)]
struct Entry {
    body: u64,
    settled: Option<(Stamp, Ran, Option<Bytes>)>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(options: LedgerOptions) -> Ledger {
        Ledger { options, claims: HashMap::new() }
    }

    /// Claims a key for a call whose body hashes to `body`.
    pub fn claim(&mut self, now: Stamp, team: &TeamName, key: &Bytes, body: u64) -> Claim {
        let name = (team.clone(), key.clone());
        if let Some(entry) = self.claims.get(&name) {
            if entry.body != body {
                return Claim::OtherBody;
            }
            return match &entry.settled {
                None => Claim::Running,
                Some((_, ran, answer)) => Claim::Settled(*ran, answer.clone()),
            };
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
        entry.settled = Some((now, ran, answer));
    }

    fn forget(&mut self, now: Stamp) {
        let window = self.options.window;
        self.claims.retain(|_, entry| match &entry.settled {
            None => true,
            Some((at, _, _)) => now.since(*at) < window,
        });
    }
}
