//! The lease that permits a node to carry out the duties.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_coord::{
    Hold, Holder as HolderRecord, Lease, LeaseCall, LeaseOptions, LeaseReply, Role, Wanted,
};
use bulrushhall_core::{Era, Event, FencingNumber, Incarnation, NodeName};
use bulrushhall_external::{
    CallError, KeyValue,
    http::SendPermit,
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
    meters, random,
};

/// The interval of checks whether a call for the lease is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of a call: the lease is lost if renewals take longer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The fraction of a lease that its holder does not use, as the rates of clocks differ.
const MARGIN_FRACTION: f64 = 0.25;
/// The renewal interval as a fraction of the lease: two renewals may fail.
const RENEW_FRACTION: f64 = 0.25;
/// The delay between the attempts of two nodes to claim free duties, in the order of their names.
const CLAIM_DELAY: Duration = Duration::from_millis(150);

/// A `Holder` holds the lease of the duties, or tries to claim it.
pub struct Holder {
    gateway: Arc<Gateway>,
    lease: Arc<Mutex<Lease>>,
}

impl Holder {
    /// Returns a holder without a lease.
    pub fn new(gateway: Arc<Gateway>) -> Holder {
        let ttl = Duration::from(gateway.settings.bounds.lease);
        let orders = gateway.platform.orders.as_ref();
        let options = LeaseOptions {
            ttl,
            margin: ttl.mul_f64(MARGIN_FRACTION),
            renew_interval: ttl.mul_f64(RENEW_FRACTION),
            max_delivery_time: orders.map_or(Duration::ZERO, |orders| orders.max_delivery_time()),
        };
        let new = match gateway.settings.gateway.first_start {
            true => Lease::at_first_start,
            false => Lease::new,
        };
        let lease = new(clock::now(), gateway.incarnation, options);
        Holder { gateway, lease: Arc::new(Mutex::new(lease)) }
    }

    /// Returns the authority to give an order now; it has to be requested right before each order.
    pub fn authority(&self) -> Option<Authority> {
        let now = clock::now();
        let hold = self.hold().filter(|hold| hold.from <= now)?;
        let holder = self.gateway.settings.gateway.name.clone();
        Some(Authority { holder, fence: hold.fence, permit: self.permit(hold.fence) })
    }

    // The permit ends with the hold, which may be lost, released or replaced before it expires.
    fn permit(&self, fence: FencingNumber) -> SendPermit {
        let lease = Arc::clone(&self.lease);
        SendPermit::new(move || {
            let hold = lock(&lease).hold(clock::now());
            hold.is_some_and(|hold| hold.fence == fence)
        })
    }

    fn hold(&self) -> Option<Hold> {
        self.lock(|lease| lease.hold(clock::now()))
    }

    // A node tries to claim the duties only if they are free: an attempt on a held lease costs two calls.
    fn wanted(&self) -> Wanted {
        if Phase::Serving < self.gateway.phase() {
            return Wanted::No;
        }
        if self.hold().is_some() {
            return Wanted::Yes;
        }
        let now = clock::now();
        let claims_from = self.lock(|lease| lease.claims_from());
        let own = &self.gateway.settings.gateway.name;
        let is_turn = self.gateway.with(|state| {
            // A node without a record can't reach the service, so it is not waited for.
            let listed = state.members.iter().filter(|(_, member)| member.listed);
            // Members don't see that the duties are free while relays supply them with records.
            let relays = &state.relays;
            let competes = |name: &NodeName| relays.role == Role::Flat || relays.includes(name);
            let earlier = listed.filter(|(name, _)| *name < own && competes(name)).count();
            let delay = CLAIM_DELAY * u32::try_from(earlier).unwrap_or(u32::MAX);
            let since = state.members.duty_free_since;
            since.is_some_and(|since| since.max(claims_from) + delay <= now)
        });
        if is_turn { Wanted::Yes } else { Wanted::No }
    }

    // Gives up the lease if the key-value service was restored since `known`.
    fn note_era(&self, known: &mut Option<Era>) {
        let current = self.gateway.era();
        let restored_at = self.gateway.with(|state| state.eras.restored_at());
        if known.is_some() && *known != current {
            let now = clock::now();
            self.lock(|lease| lease.note_restored(now, restored_at.unwrap_or(now)));
        } else if let Some(restored_at) = restored_at {
            self.lock(|lease| lease.note_restored_at(restored_at));
        }
        *known = current;
    }

    fn fence(&self, version: Version) -> FencingNumber {
        FencingNumber::of_version(self.gateway.era().unwrap_or_default(), version.0)
    }

    async fn execute(&self, call: LeaseCall) -> LeaseReply {
        let kv = self.gateway.platform.key_value.as_ref();
        match call {
            LeaseCall::Grant(ttl) => within(CALL_TIMEOUT, kv.grant(ttl))
                .await
                .map_or_else(failed, |lease| LeaseReply::Granted(lease.0)),
            LeaseCall::Renew(lease) => within(CALL_TIMEOUT, kv.renew(LeaseId(lease)))
                .await
                .map_or_else(failed, |()| LeaseReply::Done),
            LeaseCall::Release(fence) => {
                let removed =
                    within(CALL_TIMEOUT, kv.remove_if(DUTY_KEY, Version(fence.version()))).await;
                removed.map_or_else(failed, |_| LeaseReply::Done)
            }
            LeaseCall::Claim(lease) => self.claim(kv, lease).await,
        }
    }

    async fn claim(&self, kv: &dyn KeyValue, lease: u64) -> LeaseReply {
        let own = HolderRecord { incarnation: self.gateway.incarnation, lease }.encode();
        let put = kv.put_if(DUTY_KEY, Version(0), Bytes::from(own), Some(LeaseId(lease)));
        match within(CALL_TIMEOUT, put).await {
            Ok(CasOutcome::Written(version)) => LeaseReply::Claimed(self.fence(version)),
            Ok(CasOutcome::Conflict(found)) => {
                LeaseReply::Taken(self.fence(found.version), holder_of(&found.value))
            }
            Err(error) => failed(error),
        }
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Lease) -> T) -> T {
        act(&mut lock(&self.lease))
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Claims and renews the lease of the duties, forever.
pub async fn keep_lease(holder: Arc<Holder>) {
    let mut held: Option<Hold> = None;
    let mut era = holder.gateway.era();
    loop {
        holder.note_era(&mut era);
        let wanted = holder.wanted();
        let call = holder.lock(|lease| lease.tick(clock::now(), wanted));
        if let Some(call) = call {
            let reply = holder.execute(call).await;
            holder.note_era(&mut era);
            // After a restore no call is pending, so a reply of the earlier era changes nothing.
            holder.lock(|lease| lease.reply(clock::now(), reply, &mut random::rng()));
        } else {
            sleep(CHECK_INTERVAL).await;
        }
        let held_now = holder.hold();
        if held.map(|hold| hold.fence) != held_now.map(|hold| hold.fence) {
            log_change(held, held_now);
            meters::duties(held_now.is_some());
        }
        held = held_now;
    }
}

fn log_change(before: Option<Hold>, now: Option<Hold>) {
    if let Some(hold) = before {
        tracing::info!(event = Event::DutiesLost.number(), fence = hold.fence.0);
    }
    if let Some(hold) = now {
        let wait_ms = hold.from.since(clock::now()).as_millis();
        tracing::info!(event = Event::DutiesGained.number(), fence = hold.fence.0, wait_ms);
    }
}

fn failed(error: CallError) -> LeaseReply {
    LeaseReply::Failed(error.ran)
}

// A value that can't be decoded belongs to no node: the duties count as held until the key is removed.
fn holder_of(value: &Bytes) -> HolderRecord {
    let held = std::str::from_utf8(value).ok().and_then(HolderRecord::decode);
    held.unwrap_or(HolderRecord { incarnation: Incarnation(0), lease: 0 })
}
