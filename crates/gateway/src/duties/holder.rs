//! The lease under which a node carries out the duties.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_coord::{
    Hold, Holder as HolderRecord, Lease, LeaseCall, LeaseOptions, LeaseReply, Role, Wanted,
};
use bulrushhall_core::{Event, FencingNumber, Incarnation, NodeName};
use bulrushhall_external::{
    CallError, KeyValue,
    kv::{CasOutcome, LeaseId, Version},
};
use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    adapter::Authority,
    clock,
    cluster::DUTY_KEY,
    duties::within,
    gateway::{Gateway, Phase},
    meters,
};

/// The time between two looks at whether a call is due.
const EACH: Duration = Duration::from_millis(100);
/// The longest time of a call: the lease is lost where renewals take longer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The part of a lease that its holder does not count on: an order under way at its end still has
/// to arrive before the next holder's first.
const MARGIN_SHARE: f64 = 0.25;
/// The time between renewals as a part of the lease: two may fail.
const RENEW_SHARE: f64 = 0.25;
/// The longest time that an order may be under way.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between the tries of two nodes for a free duty, in the order of their names.
const TURN: Duration = Duration::from_millis(150);

/// A `Holder` holds the duties, or tries to.
pub struct Holder {
    gateway: Arc<Gateway>,
    lease: Mutex<Lease>,
}

impl Holder {
    /// Returns a holder that holds nothing yet.
    pub fn new(gateway: Arc<Gateway>) -> Holder {
        let ttl = Duration::from(gateway.settings.bounds.lease);
        let options = LeaseOptions {
            ttl,
            margin: ttl.mul_f64(MARGIN_SHARE),
            renew_interval: ttl.mul_f64(RENEW_SHARE),
            order_timeout: ORDER_TIMEOUT,
        };
        let lease = Lease::new(clock::now(), gateway.incarnation, options);
        Holder { gateway, lease: Mutex::new(lease) }
    }

    /// Returns the right to give an order now; ask right before each order.
    pub fn authority(&self) -> Option<Authority> {
        let now = clock::now();
        let hold = self.hold()?;
        let holder = self.gateway.settings.gateway.name.clone();
        (hold.from <= now).then_some(Authority { holder, fence: hold.fence })
    }

    fn hold(&self) -> Option<Hold> {
        self.lock(|lease| lease.hold(clock::now()))
    }

    // A node tries only where nobody holds the duties: looking at a held lease costs two calls.
    fn wanted(&self) -> Wanted {
        if Phase::Serving < self.gateway.phase() {
            return Wanted::No;
        }
        if self.hold().is_some() {
            return Wanted::Yes;
        }
        let now = clock::now();
        let own = &self.gateway.settings.gateway.name;
        let free = self.gateway.with(|state| {
            // A node without a record can't reach the service, so its turn is not waited for.
            let listed = state.members.iter().filter(|(_, member)| member.listed);
            // Members don't see that the duties are free while relays tell them what they need.
            let relays = &state.relays;
            let tries = |name: &NodeName| relays.role == Role::Flat || relays.includes(name);
            let earlier = listed.filter(|(name, _)| *name < own && tries(name)).count();
            let turn = TURN * u32::try_from(earlier).unwrap_or(u32::MAX);
            let since = state.members.duty_free_since;
            since.is_some_and(|since| turn <= now.since(since))
        });
        if free { Wanted::Yes } else { Wanted::No }
    }

    async fn carry_out(&self, call: LeaseCall) -> LeaseReply {
        let kv = self.gateway.platform.key_value.as_ref();
        match call {
            LeaseCall::Grant(ttl) => within(CALL_TIMEOUT, kv.grant(ttl))
                .await
                .map_or_else(failed, |lease| LeaseReply::Granted(lease.0)),
            LeaseCall::Renew(lease) => within(CALL_TIMEOUT, kv.renew(LeaseId(lease)))
                .await
                .map_or_else(failed, |()| LeaseReply::Done),
            LeaseCall::Release(fence) => {
                let removed = within(CALL_TIMEOUT, kv.remove_if(DUTY_KEY, Version(fence.0))).await;
                removed.map_or_else(failed, |_| LeaseReply::Done)
            }
            LeaseCall::Claim(lease) => self.claim(kv, lease).await,
        }
    }

    async fn claim(&self, kv: &dyn KeyValue, lease: u64) -> LeaseReply {
        let own = HolderRecord { incarnation: self.gateway.incarnation, lease }.encode();
        let put = kv.put_if(DUTY_KEY, Version(0), Bytes::from(own), Some(LeaseId(lease)));
        match within(CALL_TIMEOUT, put).await {
            Ok(CasOutcome::Written(version)) => LeaseReply::Claimed(FencingNumber(version.0)),
            Ok(CasOutcome::Conflict(found)) => {
                LeaseReply::Taken(FencingNumber(found.version.0), holder_of(&found.value))
            }
            Err(error) => failed(error),
        }
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        act(&mut self.lease.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}

/// Keeps the lease of the duties.
pub async fn keep(holder: Arc<Holder>) {
    let mut held: Option<FencingNumber> = None;
    loop {
        let wanted = holder.wanted();
        let call = holder.lock(|lease| lease.tick(clock::now(), wanted));
        if let Some(call) = call {
            let reply = holder.carry_out(call).await;
            holder.lock(|lease| lease.reply(clock::now(), reply, &mut rand::rng()));
        } else {
            sleep(EACH).await;
        }
        let now_held = holder.hold().map(|hold| hold.fence);
        if held != now_held {
            log_change(held, now_held);
            held = now_held;
            meters::duties(held.is_some());
        }
    }
}

fn log_change(before: Option<FencingNumber>, now: Option<FencingNumber>) {
    if let Some(fence) = before {
        tracing::info!(event = Event::DutiesLost.number(), fence = fence.0);
    }
    if let Some(fence) = now {
        tracing::info!(event = Event::DutiesGained.number(), fence = fence.0);
    }
}

fn failed(error: CallError) -> LeaseReply {
    LeaseReply::Failed(error.ran)
}

// A value that names nobody is nobody's own: the duty counts as held until the key vanishes.
fn holder_of(value: &Bytes) -> HolderRecord {
    let held = std::str::from_utf8(value).ok().and_then(HolderRecord::decode);
    held.unwrap_or(HolderRecord { incarnation: Incarnation(0), lease: 0 })
}
