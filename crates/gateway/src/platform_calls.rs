//! Counts of the calls to the platform's services by their purpose.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{Era, ServiceName};
use bulrushhall_external::{
    Call, KeyValue,
    kv::{CasOutcome, Changes, LeaseId, Version, Versioned},
};
use bulrushhall_policy::fleet_counts::CountOrder;
use bytes::Bytes;

use crate::{
    adapter::{Authority, Orders, Records},
    cluster::{BLOCK_PREFIX, DUTY_KEY, PREFIX},
    duties::REPORTS_KEY,
    gateway::Platform,
    meters,
};

/// A `CallPurpose` is the reason for a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// Following the configuration.
    Config,
    /// Following the records of backend servers.
    Backends,
    /// Following and writing the records of nodes.
    Nodes,
    /// Leases of the records of nodes and of the duties.
    Lease,
    /// Reports of usage.
    Usage,
    /// Orders for backend servers.
    Fleet,
    /// Blocks of prompt parts.
    Blocks,
    /// States of roll-outs.
    Rollouts,
    /// Anything else.
    Other,
}

impl CallPurpose {
    /// Every purpose.
    pub const ALL: [CallPurpose; 9] = [
        CallPurpose::Config,
        CallPurpose::Backends,
        CallPurpose::Nodes,
        CallPurpose::Lease,
        CallPurpose::Usage,
        CallPurpose::Fleet,
        CallPurpose::Blocks,
        CallPurpose::Rollouts,
        CallPurpose::Other,
    ];

    /// Returns the label of the purpose in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallPurpose::Config => "config",
            CallPurpose::Backends => "backends",
            CallPurpose::Nodes => "nodes",
            CallPurpose::Lease => "lease",
            CallPurpose::Usage => "usage",
            CallPurpose::Fleet => "fleet",
            CallPurpose::Blocks => "blocks",
            CallPurpose::Rollouts => "rollouts",
            CallPurpose::Other => "other",
        }
    }

    /// Returns the purpose of a call about a key, or about the keys below a prefix.
    pub fn of_key(records: &dyn Records, key: &str) -> CallPurpose {
        let service = key.rsplit('/').next().and_then(|name| ServiceName::new(name).ok());
        let is_status = service.is_some_and(|service| records.rollout_status_key(&service) == key);
        if is_status || key.starts_with(records.rollout_prefix()) {
            return CallPurpose::Rollouts;
        }
        // The duty and the blocks are below the prefix of nodes, whose watch returns them as well.
        match key {
            DUTY_KEY => CallPurpose::Lease,
            REPORTS_KEY => CallPurpose::Usage,
            _ if key.starts_with(BLOCK_PREFIX) => CallPurpose::Blocks,
            _ if key.starts_with(PREFIX) => CallPurpose::Nodes,
            _ if key.starts_with(records.backend_prefix()) => CallPurpose::Backends,
            _ if key.starts_with(records.operator_prefix()) => CallPurpose::Config,
            _ => CallPurpose::Other,
        }
    }
}

/// `PlatformCalls` count the calls of a node since its start.
#[derive(Debug, Default)]
pub struct PlatformCalls {
    counts: [AtomicU64; CallPurpose::ALL.len()],
}

impl PlatformCalls {
    /// Returns the number of calls for a purpose.
    pub fn count(&self, purpose: CallPurpose) -> u64 {
        self.counts[purpose as usize].load(Ordering::Relaxed)
    }

    fn note(&self, purpose: CallPurpose) {
        self.counts[purpose as usize].fetch_add(1, Ordering::Relaxed);
        meters::platform_call(purpose);
    }

    /// Returns the platform with its calls counted.
    pub fn counted(self: &Arc<Self>, platform: Platform) -> Platform {
        let key_value = CountedKeyValue {
            calls: Arc::clone(self),
            records: Arc::clone(&platform.records),
            inner: Arc::clone(&platform.key_value),
        };
        let orders = platform.orders.clone().map(|inner| {
            Arc::new(CountedOrders { calls: Arc::clone(self), inner }) as Arc<dyn Orders>
        });
        Platform { key_value: Arc::new(key_value), orders, ..platform }
    }
}

/// A `CountedKeyValue` counts the calls to a key-value service.
struct CountedKeyValue {
    calls: Arc<PlatformCalls>,
    records: Arc<dyn Records>,
    inner: Arc<dyn KeyValue>,
}

impl CountedKeyValue {
    fn note(&self, key: &str) {
        self.calls.note(CallPurpose::of_key(self.records.as_ref(), key));
    }
}

impl KeyValue for CountedKeyValue {
    fn era(&self) -> Option<Era> {
        self.inner.era()
    }

    fn note_era(&self, era: Era) {
        self.inner.note_era(era);
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned> {
        self.note(key);
        self.inner.get(key)
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome> {
        self.note(key);
        self.inner.put_if(key, expected, value, lease)
    }

    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome> {
        self.note(key);
        self.inner.remove_if(key, expected)
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Changes> {
        self.note(prefix);
        self.inner.list(prefix)
    }

    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId> {
        self.calls.note(CallPurpose::Lease);
        self.inner.grant(ttl)
    }

    fn renew(&self, lease: LeaseId) -> Call<'_, ()> {
        self.calls.note(CallPurpose::Lease);
        self.inner.renew(lease)
    }

    fn watch<'a>(&'a self, prefix: &'a str, after: Version, wait: Duration) -> Call<'a, Changes> {
        self.note(prefix);
        self.inner.watch(prefix, after, wait)
    }
}

/// `CountedOrders` count the calls to a cloud API.
struct CountedOrders {
    calls: Arc<PlatformCalls>,
    inner: Arc<dyn Orders>,
}

impl Orders for CountedOrders {
    fn max_delivery_time(&self) -> Duration {
        self.inner.max_delivery_time()
    }

    fn order<'a>(
        &'a self,
        authority: &'a Authority,
        service: &'a ServiceName,
        order: &'a CountOrder,
    ) -> Call<'a, ()> {
        self.calls.note(CallPurpose::Fleet);
        self.inner.order(authority, service, order)
    }

    fn report<'a>(
        &'a self,
        authority: &'a Authority,
        window: Window,
        counts: &'a TeamCounts,
    ) -> Call<'a, ()> {
        self.calls.note(CallPurpose::Usage);
        self.inner.report(authority, window, counts)
    }
}
