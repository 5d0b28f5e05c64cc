//! The key-value service with its calls counted.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_core::Ran;
use bulrushhall_platform::{
    Call, CallError, KeyValue,
    kv::{CasOutcome, Change, LeaseId, Version, Versioned},
};
use bytes::Bytes;

use crate::meters::{Meters, Metric};

/// The first parts of keys that are duties of their own; all others are counted together.
const DUTIES: [&str; 6] = ["config", "lease", "claims", "nodes", "budget", "weights"];

/// A `MeteredKeyValue` passes calls on and counts them by duty and outcome.
pub struct MeteredKeyValue {
    inner: Arc<dyn KeyValue>,
    meters: Arc<Meters>,
}

impl MeteredKeyValue {
    /// Returns `inner` with its calls counted.
    pub fn new(inner: Arc<dyn KeyValue>, meters: Arc<Meters>) -> MeteredKeyValue {
        MeteredKeyValue { inner, meters }
    }

    async fn counted<T>(&self, key: &str, call: Call<'_, T>) -> Result<T, CallError> {
        let duty = duty_of(key);
        let started = Instant::now();
        let result = call.await;
        let outcome = match &result {
            Ok(_) => "done",
            Err(error) if error.ran == Ran::No => "not_done",
            Err(_) => "unknown",
        };
        self.meters.count(Metric::KeyValueCalls, &[("duty", duty), ("outcome", outcome)], 1);
        self.meters.time(Metric::KeyValueSeconds, &[("duty", duty)], started.elapsed());
        result
    }
}

impl KeyValue for MeteredKeyValue {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned> {
        Box::pin(self.counted(key, self.inner.get(key)))
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome> {
        Box::pin(self.counted(key, self.inner.put_if(key, expected, value, lease)))
    }

    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome> {
        Box::pin(self.counted(key, self.inner.remove_if(key, expected)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Vec<Change>> {
        Box::pin(self.counted(prefix, self.inner.list(prefix)))
    }

    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId> {
        Box::pin(self.counted("lease", self.inner.grant(ttl)))
    }

    fn renew(&self, lease: LeaseId) -> Call<'_, ()> {
        Box::pin(self.counted("lease", self.inner.renew(lease)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Version,
        wait: Duration,
    ) -> Call<'a, Vec<Change>> {
        Box::pin(self.counted(prefix, self.inner.watch(prefix, after, wait)))
    }
}

fn duty_of(key: &str) -> &'static str {
    let first = key.split('/').next().unwrap_or_default();
    DUTIES.into_iter().find(|duty| *duty == first).unwrap_or("other")
}
