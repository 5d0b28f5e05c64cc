//! A caller's cached list of entry points, refreshed when its time to live has passed.

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

/// An `EntryCache` is the list of entry points of one caller, with its connections to them.
pub struct EntryCache {
    team: String,
    response_timeout: Duration,
    seeds: Vec<SocketAddr>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    entries: Vec<EntryPoint>,
    expires_at: Option<Instant>,
    callers: BTreeMap<SocketAddr, Arc<Caller>>,
}

impl EntryCache {
    /// Returns an empty cache that is first filled from `seeds`.
    pub fn new(
        team: impl Into<String>,
        seeds: Vec<SocketAddr>,
        response_timeout: Duration,
    ) -> EntryCache {
        EntryCache { team: team.into(), response_timeout, seeds, state: Mutex::default() }
    }

    /// Returns the addresses to try, best first; fetches the list again once it has expired.
    pub async fn current(&self) -> Vec<SocketAddr> {
        let (is_fresh, cached) = self.cached();
        if is_fresh && !cached.is_empty() {
            return cached;
        }
        let candidates = cached.iter().chain(&self.seeds).copied();
        for address in candidates {
            if let Some(entries) = self.fetch(address).await {
                return entries;
            }
        }
        // No node answers at the moment: an expired list is better than none.
        if cached.is_empty() { self.seeds.clone() } else { cached }
    }

    /// Marks the list as expired, so that it is fetched again before its time to live ends.
    pub fn expire(&self) {
        self.lock().expires_at = None;
    }

    /// Returns the ticket of the entry at `address`, if the list has one.
    pub fn ticket(&self, address: SocketAddr) -> Option<String> {
        let state = self.lock();
        let entry = state.entries.iter().find(|entry| entry.address == address);
        entry.map(|entry| entry.ticket.clone())
    }

    /// Returns the HTTP client for `address`, which keeps its connections.
    pub fn caller(&self, address: SocketAddr) -> Arc<Caller> {
        let mut state = self.lock();
        let caller = state.callers.entry(address).or_insert_with(|| {
            Arc::new(Caller::with_response_timeout(
                address,
                self.team.clone(),
                self.response_timeout,
            ))
        });
        Arc::clone(caller)
    }

    async fn fetch(&self, address: SocketAddr) -> Option<Vec<SocketAddr>> {
        let caller = self.caller(address);
        let response = caller.json(Method::GET, "/v1/entries", &[], &Value::Null).await.ok()?;
        let list: EntryList = serde_json::from_value(response).ok()?;
        if list.entries.is_empty() {
            return None;
        }
        let addresses = list.entries.iter().map(|entry| entry.address).collect();
        let mut state = self.lock();
        state.expires_at = Some(Instant::now() + Duration::from_millis(list.time_to_live_ms));
        state.entries = list.entries;
        Some(addresses)
    }

    fn cached(&self) -> (bool, Vec<SocketAddr>) {
        let state = self.lock();
        let is_fresh = state.expires_at.is_some_and(|expires_at| Instant::now() < expires_at);
        (is_fresh, state.entries.iter().map(|entry| entry.address).collect())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
