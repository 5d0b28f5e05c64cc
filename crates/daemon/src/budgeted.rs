//! A key-value client that limits and counts its calls by purpose.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_coord::{CallBudget, Purpose};
use bulrushhall_core::{Era, Ran};
use bulrushhall_external::{
    Call, CallError, CallFault, KeyValue,
    kv::{CasOutcome, Changes, LeaseId, Version, Versioned},
};
use bytes::Bytes;

use crate::{
    clock::Clock,
    meters::{Meters, Metric},
};

/// A `Budgeted` is a key-value client that fails calls beyond the call budget of its purpose.
pub struct Budgeted {
    inner: Arc<dyn KeyValue>,
    budget: Arc<Mutex<CallBudget>>,
    clock: Clock,
    purpose: Purpose,
    meters: Arc<Meters>,
}

impl Budgeted {
    /// Returns a client of `inner` within the budget of `purpose`.
    pub fn new(
        inner: Arc<dyn KeyValue>,
        budget: Arc<Mutex<CallBudget>>,
        clock: Clock,
        purpose: Purpose,
        meters: Arc<Meters>,
    ) -> Budgeted {
        Budgeted { inner, budget, clock, purpose, meters }
    }

    async fn counted<T>(&self, call: Call<'_, T>) -> Result<T, CallError> {
        let now = self.clock.now();
        let admitted = self.lock(|budget| budget.take(now, self.purpose));
        if admitted.is_err() {
            self.count("held_back");
            return Err(CallError::not_done(CallFault::Budget));
        }
        let outcome = call.await;
        let time = self.clock.now().since(now);
        self.meters.time(Metric::KeyValueSeconds, &[("purpose", self.purpose.as_str())], time);
        let ran = outcome.as_ref().map_or_else(|error| error.ran, |_| Ran::Yes);
        self.lock(|budget| budget.note(self.purpose, ran));
        self.count(match ran {
            Ran::Yes => "done",
            Ran::No => "not_done",
            Ran::Unknown => "unknown",
        });
        outcome
    }

    fn lock<T>(&self, act: impl FnOnce(&mut CallBudget) -> T) -> T {
        let mut budget = self.budget.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        act(&mut budget)
    }

    fn count(&self, outcome: &'static str) {
        let labels = [("purpose", self.purpose.as_str()), ("outcome", outcome)];
        self.meters.count(Metric::KeyValueCalls, &labels, 1);
    }
}

impl KeyValue for Budgeted {
    fn era(&self) -> Option<Era> {
        self.inner.era()
    }

    fn note_era(&self, era: Era) {
        self.inner.note_era(era);
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned> {
        Box::pin(self.counted(self.inner.get(key)))
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome> {
        Box::pin(self.counted(self.inner.put_if(key, expected, value, lease)))
    }

    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome> {
        Box::pin(self.counted(self.inner.remove_if(key, expected)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Changes> {
        Box::pin(self.counted(self.inner.list(prefix)))
    }

    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId> {
        Box::pin(self.counted(self.inner.grant(ttl)))
    }

    fn renew(&self, lease: LeaseId) -> Call<'_, ()> {
        Box::pin(self.counted(self.inner.renew(lease)))
    }

    fn watch<'a>(&'a self, prefix: &'a str, after: Version, wait: Duration) -> Call<'a, Changes> {
        Box::pin(self.counted(self.inner.watch(prefix, after, wait)))
    }
}
