//! A caller's list of entries: asked for, kept for its time to live, asked for again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bulrushhall_core::entries::{EntryList, EntryPoint};
use hyper::Method;
use serde_json::Value;

use crate::Caller;

/// `Addresses` are the entries that one caller uses.
pub struct Addresses {
    team: String,
    silence: Duration,
    seeds: Vec<SocketAddr>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    entries: Vec<EntryPoint>,
    until: Option<Instant>,
    callers: BTreeMap<SocketAddr, Arc<Caller>>,
}

impl Addresses {
    /// Returns a list that is first asked for at `seeds`.
    pub fn new(team: impl Into<String>, seeds: Vec<SocketAddr>, silence: Duration) -> Addresses {
        Addresses { team: team.into(), silence, seeds, state: Mutex::default() }
    }

    /// Returns the addresses to try, best first; asks again once the list is too old.
    pub async fn current(&self) -> Vec<SocketAddr> {
        let (fresh, kept) = self.kept();
        if fresh && !kept.is_empty() {
            return kept;
        }
        let asked = kept.iter().chain(&self.seeds).copied();
        for address in asked {
            if let Some(entries) = self.ask(address).await {
                return entries;
            }
        }
        // Nobody answers at the moment: an old list is better than none.
        if kept.is_empty() { self.seeds.clone() } else { kept }
    }

    /// Lets go of the list, so that it is asked for again before its time.
    pub fn forget(&self) {
        self.lock().until = None;
    }

    /// Returns the ticket of the entry at `address`, where it has given one.
    pub fn ticket(&self, address: SocketAddr) -> Option<String> {
        let state = self.lock();
        let entry = state.entries.iter().find(|entry| entry.address == address);
        entry.map(|entry| entry.ticket.clone())
    }

    /// Returns the caller with its connections to `address`.
    pub fn caller(&self, address: SocketAddr) -> Arc<Caller> {
        let mut state = self.lock();
        let caller = state.callers.entry(address).or_insert_with(|| {
            Arc::new(Caller::with_silence(address, self.team.clone(), self.silence))
        });
        Arc::clone(caller)
    }

    async fn ask(&self, address: SocketAddr) -> Option<Vec<SocketAddr>> {
        let caller = self.caller(address);
        let answer = caller.json(Method::GET, "/v1/entries", &[], &Value::Null).await.ok()?;
        let list: EntryList = serde_json::from_value(answer).ok()?;
        if list.entries.is_empty() {
            return None;
        }
        let addresses = list.entries.iter().map(|entry| entry.address).collect();
        let mut state = self.lock();
        state.until = Some(Instant::now() + Duration::from_millis(list.time_to_live_ms));
        state.entries = list.entries;
        Some(addresses)
    }

    fn kept(&self) -> (bool, Vec<SocketAddr>) {
        let state = self.lock();
        let fresh = state.until.is_some_and(|until| Instant::now() < until);
        (fresh, state.entries.iter().map(|entry| entry.address).collect())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
